Feature: Logs
  Guards against API keys in logs, lines without a process name and lines
  that are torn when many are written at once.

  Scenario Outline: A key does not reach the log
    Given logs in the format "<format>"
    When a key is logged in each way that a key can slip in
    Then each log line names the process and none holds the key

    Examples:
      | format |
      | json   |
      | text   |

  Scenario: A burst of decisions is written line by line
    Given a decision log whose reader takes some lines at a time
    When 400 decisions are logged at once and read bit by bit
    Then each write is whole lines that a pipe takes in one piece
    And every decision is read, once and in order
