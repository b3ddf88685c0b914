Feature: Entries read the store less often while others read the same
  Endpoints write heartbeats all the time, and each answer costs a call. An
  entry knows what two others have read if its digest equals theirs, so its
  pause counts from their readings, within the budgets of the drain time and of
  the configuration.

  Scenario Outline: Readings of the same by two others lengthen a pause
    Guards against pauses that rest on stale, contradictory or too few reports,
    at entries that are alone or where something changed.
    Given reports of other entries: <reports>
    Then 0.9 s after its own answer an entry with a drain time of 3 s makes no call for <pause> s from it

    Examples: A report is the digest, the time of the reading after the own one, and its age
      | reports                              | pause |
      | none                                 | 0     |
      | same 0.3 0.1                         | 0     |
      | same 0.3 0.1, same 0.6 0.1           | 1.8   |
      | same 0.3 0.1, same -0.1 0.1          | 1.55  |
      | same 0.3 0.1, same 0.02 0.1          | 1.55  |
      | same 0.3 0.1, same 0.6 0.6           | 0     |
      | same 0.3 0.1, same 0.6 0.1, other -0.5 0.1 | 0 |
      | same 0.3 0.1, same 0.6 0.1, other -0.5 0.6 | 1.8 |

  Scenario Outline: A longer pause begins late enough and is given up in time
    Guards against calls that are given up later than the drain time allows.
    Given a follower whose endpoints may be used for <drain> s while they leave
    And two others of its failure domain that read the same until a change
    When it watches the store for a while
    Then its watches are given up <silence> s after an answer and begin <pause> s after news at the earliest

    Examples:
      | drain | silence | pause |
      | 0.4   | 0.24    | 0.16  |
      | 1.0   | 0.6     | 0.4   |

  Scenario Outline: The longest pauses keep the drain time with a lost answer
    Guards against requests to an endpoint that left, when the answer that
    tells of it is lost behind the longest pause.
    Given a store at which something changes all the time
    And two others of its failure domain that read the same until a change
    When <lost> answer is lost at each of 60 leavings with a drain time of <drain> s
    Then each of them is known within 0.8 of the drain time and the last answer

    Examples:
      | drain | lost |
      | 2     | 0    |
      | 2     | 1    |
      | 3     | 0    |
      | 3     | 1    |
      | 4     | 0    |
      | 4     | 1    |

  Scenario Outline: The longest pauses keep the bound of a configuration
    Guards against a large version behind a pause that leaves no time for it.
    Given an entry alone behind a link of 10 Mbit/s with a bound of <bound> s
    And two others of its failure domain that read the same until a change
    And a configuration of <size> bytes is in force
    When 1 versions of <size> bytes are written at the worst moments
    Then each last one is in force within 0.8 of the bound

    Examples:
      | bound | size    |
      | 2     | 200000  |
      | 2     | 650000  |
      | 3     | 200000  |
      | 3     | 1000000 |
      | 4     | 200000  |
      | 4     | 1000000 |

  Scenario Outline: Where entries share readings one of them still reads in time
    Guards against a group of entries that all wait for each other, and against
    leavings learned late while answers and messages are lost.
    Given <count> entries in <domains> failure domains and a drain time of <drain> s
    And they share their readings while other keys change all the time
    When a third of the store's answers and of the messages is lost
    And 20 endpoints leave, one after the other
    Then all entries know each of them within 0.8 of the drain time

    Examples:
      | count | domains | drain |
      | 12    | 3       | 2     |
      | 12    | 3       | 3     |
      | 12    | 1       | 4     |

  Scenario Outline: All entries know a change soon after a reader
    Guards against entries that hear of engines that came, left or failed later
    than by a watch of their own, and have requests refused meanwhile.
    Given <count> entries in <domains> failure domains and a drain time of 3 s
    And they share their readings while nothing else changes
    When 20 endpoints leave, one after the other
    Then all entries know each of them within <seconds> s of the first

    Examples: A message, a check of the pause and a call take some 0.12 s
      | count | domains | seconds |
      | 12    | 1       | 0.15    |
      | 12    | 3       | 0.15    |

  Scenario Outline: The first reading after a change is as early as before
    Guards against a large configuration that nobody has read yet when its
    transfer must begin.
    Given <count> entries in 1 failure domains and a drain time of 3 s
    And they share their readings while other keys change all the time
    When 20 endpoints leave, one after the other
    Then one entry knows each of them within the pause of 0.9 s

    Examples:
      | count |
      | 3     |
      | 12    |

  Scenario Outline: A version that is far larger than the one before is in time
    Guards against pauses chosen by the size of the version in force, where no
    entry of the failure domain has a link that is wider than the others'.
    Given <count> entries in 1 failure domains and a drain time of <bound> s
    And they share their readings while other keys change all the time
    When versions of <size> bytes follow small ones over links of 10 Mbit/s
    Then all of them are in force within 0.8 of the bound

    Examples:
      | count | bound | size    |
      | 3     | 2     | 600000  |
      | 6     | 3     | 1000000 |
      | 6     | 4     | 1000000 |

  Scenario: Heartbeats do not change the digest, what routing needs does
    Guards against entries that never agree, or agree though they differ.
    Given the endpoints of two entries, listed in opposite order
    Then their digests are equal
    When an endpoint of the first writes a heartbeat
    Then their digests are equal
    When an endpoint of the first drains
    Then their digests differ
    When the same endpoint of the second drains
    Then their digests are equal
    When an endpoint of the first is removed
    Then their digests differ
    When the first entry follows the store by parts
    Then its digest differs from before

  Scenario: An entry that joins or leaves changes the digest of those that know it
    Guards against entries that rely on others while a new one is unknown to
    them: it would be told nothing of their use of engines.
    Given the endpoints of two entries, listed in opposite order
    When both know each other
    Then their digests are equal
    When a third entry is listed at the first
    Then their digests differ
    When a third entry is listed at the second
    Then their digests are equal
    When the third entry is dropped at the second
    Then their digests differ

  Scenario Outline: Changes of several endpoints do not cancel out
    Guards against an entry that goes on without reading as others read that
    the engines of a whole host leave, or that one has another address.
    Given the endpoints "<names>" of two entries
    When "<names>" of the first <change>
    Then their digests differ

    Examples:
      | names               | change                |
      | e-0 e-1 e-2 e-3     | drain                 |
      | e-0 e-1 e-2 e-3     | are removed           |
      | a-1 a-2 b-1 b-2     | drain                 |
      | a-1 a-2 b-1 b-2     | are removed           |
      | e-0                 | get another address   |
      | e-0                 | get another domain    |

  Scenario Outline: The digest tells of a configuration before it is in force
    Guards against entries that count their pauses from a reading of a new
    version while its reader, which is decoding it, still tells the old one.
    Given a follower that has read a configuration that is <fate>
    When it decodes the configuration for 0.5 s
    Then its digest differs from before until the end, and <after> then

    Examples:
      | fate      | after   |
      | loaded    | differs |
      | malformed | is equal |

  Scenario: Messages differ only where readings are shared
    Guards against entries of another build that misread a message.
    Given a message of an entry with and one without shared reading
    Then the one without is the same as that of the build before
    And older decoders pass over the reading, and read the rest
    And newer decoders read both

  Scenario Outline: Entries that read at the same moment come to share
    Guards against entries in step, of which none reads after the others.
    Given <count> entries in 1 failure domains and a drain time of <drain> s
    And they share their readings while other keys change all the time
    When all of them begin at the same moment
    Then they call the store at most <fraction> times as often as without

    Examples:
      | count | drain | fraction |
      | 3     | 3     | 0.9      |
      | 6     | 3     | 0.5      |
      | 12    | 2     | 0.5      |
      | 12    | 3     | 0.5      |
      | 12    | 4     | 0.5      |

  Scenario: A calm domain calls the store less often
    Guards against a setting without effect, or with more calls.
    Given three real entries of one failure domain with a drain time of 3 s
    When endpoints write heartbeats only, with and without shared reading
    Then with it they watch the store at most 0.95 times as often

  Scenario: A leaving is known to all in time though an answer is lost
    Guards against a longer pause that delays what the others tell too.
    Given three real entries of one failure domain with a drain time of 3 s
    And their readings are shared
    When one answer is lost at entry "two" while one service drains
    Then nothing reached the service later than the drain time
    And all entries told that it leaves within the drain time
