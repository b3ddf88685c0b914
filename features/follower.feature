Feature: How an entry follows the store

  Scenario Outline: The time to leave sets how long a watch waits
    Given a follower whose endpoints may be used for <drain> s while they leave
    When it watches the store for a while
    Then its watches wait <watch> s and begin <pause> s after news at the earliest

    Examples:
      | drain | watch | pause |
      | 0.4   | 0.32  | 0.08  |
      | 1.0   | 0.8   | 0.2   |
