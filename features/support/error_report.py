"""The JSON report of behave, with the messages of unexpected errors too."""

from behave.formatter.json import JSONFormatter
from behave.model import Step


class ErrorReport(JSONFormatter):
    """Adds `error_message` where behave gives it to failed asserts only."""

    name = 'json.errors'

    def result(self, step: Step) -> None:
        super().result(step)
        if step.error_message:
            steps = self.current_feature_element['steps']
            reported = steps[self._step_index - 1]['result']
            reported.setdefault('error_message', step.error_message)
