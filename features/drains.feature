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

  Scenario Outline: An entry without news from the store hears it from another
    Given two entries whose endpoints may be used for 2 s while they leave
    When all answers are lost at entry "two" while one service <leaves>
    Then nothing reached the service later than the drain time
    And both entries told that it leaves within the drain time

    Examples:
      | leaves     |
      | drains     |
      | is removed |

  Scenario: What others say of a removal counts until the store is read
    Given an entry that lists 6 endpoints
    When another entry says that the store removed 1 of them
    Then 5 endpoints are used
    When a reading of the store that began before that still lists them
    Then 5 endpoints are used
    When a reading of the store that began after that still lists them
    Then 6 endpoints are used
    When another entry says that the store removed 1 of them
    Then 6 endpoints are used

  Scenario: A removal that is held back is not used once others saw it too
    Given an entry that lists 6 endpoints
    And the store was away for 2 s and removes 1 of them just after
    Then 6 endpoints are used
    When another entry says that the store removed 1 of them
    And a reading of the store that began after that still lists them
    Then 5 endpoints are used

  Scenario: Most endpoints are not removed by what others say
    Given an entry that lists 6 endpoints
    When another entry says that the store removed 3 of them
    Then 6 endpoints are used

  Scenario: What others say of a removal is forgotten without the store
    Given an entry that lists 6 endpoints
    When another entry says that the store removed 1 of them
    And 11 s pass without the store
    Then 6 endpoints are used

  Scenario Outline: A leader without the store moves no engines on hearsay
    Given an entry that lists 6 engines
    And its listing is <age> s old with a drain time of 2 s
    When another entry says that 1 of them <leaves>
    Then 5 engines get streams
    And <count> engines count as holders of their layers

    Examples:
      | age | leaves         | count |
      | 0.5 | leaves         | 5     |
      | 0.5 | was removed    | 5     |
      | 5   | leaves         | 6     |
      | 5   | was removed    | 6     |

  Scenario Outline: All entries know it in time while a third of all is lost
    Given <count> entries in <domains> failure domains and a drain time of <drain> s
    When a third of the store's answers and of the messages is lost
    And <leavings> endpoints leave, one after the other
    Then all entries know each of them within 0.8 of the drain time

    Examples:
      | count | domains | drain | leavings |
      | 12    | 3       | 2     | 30       |
      | 60    | 5       | 4     | 8        |
