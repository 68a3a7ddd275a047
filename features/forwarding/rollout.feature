Feature: Versions are rolled out within the exposure bound and decided in time

  Scenario Outline: Of 3 nodes, a version that is <kind> is <state>
    Given a world with 4 endpoints of version 1, 4 of version 2 and 3 nodes
    When version 2 is ordered over <seconds> seconds, is <kind>, and <event>
    Then the roll-out is <state> before its end
    And its endpoints got nothing before it was running
    And they got no more than a tenth of the requests and 50 before completion
    And they got nothing 1 second after a roll-back, and the old ones nothing 1 second after completion
    And at least <served>% of the requests were served

    Examples: guards against a wrong, late or missing decision, and against exposure
      | kind              | seconds | state       | event                        | served |
      | good              | 12      | completed   | nothing happens              | 99     |
      | failing           | 12      | rolled_back | nothing happens              | 93     |
      | slow              | 12      | rolled_back | nothing happens              | 93     |
      | failing later     | 12      | rolled_back | nothing happens              | 93     |
      | failing on writes | 12      | rolled_back | nothing happens              | 93     |
      | good              | 12      | completed   | the deciding hub dies        | 93     |
      | failing           | 12      | rolled_back | the deciding hub dies        | 85     |
      | good              | 12      | completed   | the deciding hub dies late   | 93     |
      | good              | 12      | completed   | the store is restored        | 99     |
      | good              | 12      | completed   | the store is down for 2 s    | 99     |
      | good              | 12      | completed   | a zone is evacuated          | 97     |
      | good              | 12      | completed   | endpoints are removed        | 97     |
      | good              | 12      | completed   | new endpoints are cold       | 97     |
      | good              | 12      | completed   | endpoints are brittle        | 90     |
      | good              | 12      | completed   | another service has an order | 99     |
      | good              | 9       | rolled_back | the order is withdrawn       | 99     |

  Scenario Outline: An order with <fault> stops nothing
    Given a world with 2 endpoints of version 1, 1 of version 2 and 2 nodes
    When the order for "<service>" is <value>
    Then it has no status and every request was served

    Examples: guards against an order that breaks the view or the decider
      | fault              | service | value                                               |
      | no version         | plain   | {"service": "plain", "durationS": 9}                |
      | no duration        | plain   | {"service": "plain", "to": "2"}                     |
      | duration 0         | plain   | {"service": "plain", "to": "2", "durationS": 0}     |
      | a negative one     | plain   | {"service": "plain", "to": "2", "durationS": -3}    |
      | a text as duration | plain   | {"service": "plain", "to": "2", "durationS": "9"}   |
      | another service    | plain   | {"service": "other", "to": "2", "durationS": 9}     |
      | an unknown service | nothing | {"service": "nothing", "to": "2", "durationS": 9}   |
      | an unknown version | plain   | {"service": "plain", "to": "7", "durationS": 9}     |
      | no JSON            | plain   | {"service"                                          |
