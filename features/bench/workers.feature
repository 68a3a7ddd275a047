Feature: Bench commands leave no child process running

  Scenario Outline: The workers of an experiment stop when its process gets a signal
    When an experiment with 2 workers receives <signal>
    Then none of its child processes is still running

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |
      | SIGKILL |

  Scenario Outline: The nodes and engines of a benchmark stop when its process gets a signal
    When a benchmark with nodes and engines receives <signal>
    Then none of its child processes is still running

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |

  Scenario: Several workers give the same figures as one process, in the same order
    Then runs with seeds 1 to 3 give the same figures with 1 and with 2 workers
