Feature: How an entry follows the store
  One drain time holds from the moment at which the store accepts a change to
  the moment at which an entry knows it, also if an answer is lost on the way.

  Scenario Outline: The drain time sets how long a watch may be silent
    Given a follower whose endpoints may be used for <drain> s while they leave
    When it watches the store for a while
    Then its watches are given up <silence> s after an answer and begin <pause> s after news at the earliest

    Examples:
      | drain | silence | pause |
      | 0.4   | 0.24    | 0.12  |
      | 1.0   | 0.6     | 0.3   |

  Scenario Outline: The steps of a lost answer fit the drain time
    Then with a drain time of <drain> s silence, pause, connection and reserve take <drain> s
    And a watch waits for <calm> s after an empty answer and <busy> s after news

    Examples:
      | drain | calm | busy |
      | 0.4   | 0.16 | 0.04 |
      | 2     | 0.8  | 0.2  |
      | 3     | 1.55 | 0.65 |
      | 4     | 2.3  | 1.1  |

  Scenario Outline: A change is known in time though an answer is lost
    Given a store at which something changes <changing>
    When <lost> answer is lost at each of 60 leavings with a drain time of <drain> s
    Then each of them is known within 0.8 of the drain time and the last answer

    Examples:
      | drain | lost | changing     |
      | 2     | 0    | seldom       |
      | 2     | 1    | seldom       |
      | 2     | 1    | all the time |
      | 3     | 1    | seldom       |
      | 3     | 1    | all the time |
      | 4     | 1    | seldom       |
      | 4     | 1    | all the time |

  Scenario Outline: A removal held back after an outage waits for no next change
    Given a store that was away for 1.5 s at a drain time of <drain> s
    When an endpoint is removed <after> s after the entry has found it again
    Then it is out of use <seconds> s after that at the latest

    Examples:
      | drain | after | seconds |
      | 2     | 0.1   | 2.3     |
      | 2     | 1.0   | 2.3     |
      | 2     | 2.0   | 2.3     |
      | 4     | 0.1   | 2.3     |
      | 4     | 1.0   | 2.3     |

  Scenario: A malformed version does not hide the one before it
    Given an entry that follows a store with version 7
    When version 8 and a malformed version come in one answer
    Then version 8 is in force and the other one is refused
