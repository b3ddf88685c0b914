Feature: Choosing the entry that a configuration is read from
  A new version reaches all entries at the same moment; those that lack it
  spread over those that have it.

  Scenario: The newest version counts most, then the own failure domain
    Given an entry in "a" with version 5
    When "x" in "a" tells version 6, "y" in "b" version 7, "z" in "a" version 7
    Then it asks "z"
    When "z" has failed
    Then it asks "y"
    When "y" has failed
    Then it asks "x"
    When "x" has failed
    Then it asks nobody, and somebody again after 0.5 to 1.5 s

  Scenario: An entry that started again is not asked for what it lacks
    Given an entry in "a" with version 5
    When "x" in "a" tells version 6, "x" in "a" version 0
    Then it asks nobody, and waits for news

  Scenario Outline: A new version spreads over all entries in some rounds
    Given <count> entries of which <first> have a new version
    When each entry serves 2 others in 0.1 s and refuses more
    Then all have it after <seconds> s

    Examples:
      | count | first | seconds |
      | 4     | 1     | 0.6     |
      | 29    | 6     | 0.9     |
      | 29    | 1     | 1.2     |
      | 68    | 1     | 1.5     |
      | 370   | 7     | 1.8     |
