Feature: A large configuration is in force in time
  Real entries reach the store through links that are narrow, but sound. Times
  count from the acknowledgement of the last version. 1,700 routes are 0.4 MB,
  4,300 are 1 MB, near the largest value that the store takes.

  Scenario Outline: A narrow link does not keep a configuration from an entry
    Given <entries> entries with links of <width> Mbit/s to the store
    When <versions> versions with <routes> routes come 0.3 s apart
    Then the last version is in force on all entries within 3 s

    Examples:
      | entries | width | routes | versions |
      | 1       | 20    | 4300   | 1        |
      | 1       | 10    | 4300   | 1        |
      | 1       | 10    | 1700   | 8        |
      | 1       | 10    | 4300   | 2        |
      | 1       | 5     | 4300   | 1        |
      | 1       | 2.5   | 1700   | 1        |
      | 6       | 10    | 1700   | 8        |

  Scenario Outline: A lost answer does not keep a configuration from an entry
    Given <entries> entries with links of 10 Mbit/s to the store
    When <versions> versions with 1700 routes come 0.3 s apart and an answer is lost at each entry
    Then the last version is in force on all entries within 3 s

    Examples:
      | entries | versions |
      | 1       | 1        |
      | 1       | 4        |
      | 6       | 4        |

  Scenario Outline: A leaving endpoint is known behind large configurations
    Given <entries> entries with links of 10 Mbit/s to the store
    When <versions> versions with <routes> routes come 0.3 s apart and an endpoint leaves behind them
    Then all entries know within the drain time that it leaves
    And the last version is in force on all entries within 3 s

    Examples:
      | entries | versions | routes |
      | 1       | 2        | 4300   |
      | 1       | 8        | 1700   |
      | 2       | 8        | 4300   |

  Scenario: Entries behind narrow links read from one that has a wide link
    Given 5 entries with links of 2 Mbit/s to the store and one with a wide link
    When 2 versions with 4300 routes come 0.3 s apart
    Then the last version is in force on all entries within 3 s
    And the 5 entries have it from another entry
