Feature: The stand-in callers of a fleet

  Scenario Outline: An answer that ends before its length is not whole
    When a process ends after <sent> of the 9 bytes of its answer
    Then its caller has <sent> bytes of an answer that is <state>

    Examples:
      | sent | state  |
      | 0    | broken |
      | 4    | broken |
      | 9    | whole  |
