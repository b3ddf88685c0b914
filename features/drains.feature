Feature: Endpoints that leave get nothing later than the drain time
  Answers of the store are lost between it and one entry, at the moment at
  which an endpoint leaves. The store, the other entries and new connections
  work. Judged by what the endpoint receives.

  Scenario Outline: A lost answer does not keep a leaving endpoint in use
    Given two entries whose endpoints may be used for <drain> s while they leave
    When <loss> lost at entry "two" while one <kind> <leaves>
    Then nothing reached the <kind> later than the drain time
    And both entries told that it leaves within the drain time

    Examples:
      | drain | kind    | leaves                 | loss                         |
      | 2     | service | drains                 | no answer is                 |
      | 2     | engine  | drains                 | no answer is                 |
      | 2     | service | drains                 | one answer is                |
      | 2     | engine  | drains                 | one answer is                |
      | 2     | service | drains                 | two answers in a row are     |
      | 2     | service | drains                 | one answer and the history are |
      | 2     | service | is removed             | one answer is                |
      | 3     | service | drains                 | two answers in a row are     |
      | 3     | service | is removed             | one answer is                |
      | 4     | engine  | drains                 | two answers in a row are     |
      | 4     | service | is removed             | one answer is                |

  Scenario Outline: An entry without neighbours bears a lost answer
    Given one entry whose endpoints may be used for <drain> s while they leave
    When one answer is lost at entry "one" while one service <leaves>
    Then nothing reached the service later than the drain time

    Examples:
      | drain | leaves     |
      | 2     | drains     |
      | 2     | is removed |
      | 3     | drains     |
      | 4     | drains     |

  Scenario Outline: An entry that the store has forsaken hears it from another
    Given two entries whose endpoints may be used for 2 s while they leave
    When all answers are lost at entry "two" while one service <leaves>
    Then nothing reached the service later than the drain time
    And both entries told that it leaves within the drain time

    Examples:
      | leaves     |
      | drains     |
      | is removed |
