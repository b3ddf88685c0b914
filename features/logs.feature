Feature: Logs
  Log lines say who wrote them and hold no key.

  Scenario Outline: A key does not reach the log
    Given logs in the format "<format>"
    When a key is logged in each way that a key can slip in
    Then each log line names the process and none holds the key

    Examples:
      | format |
      | json   |
      | text   |
