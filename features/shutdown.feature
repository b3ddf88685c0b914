Feature: A stopping entry starts no stream that it would cut off
  A caller has one retry. A stream that is cut off uses it late; one that is
  refused at once, without having been sent, is served by another entry.

  Scenario Outline: A stream is refused if it is longer than the time left
    Guards against streams that are cut off at the end of the grace period, and
    against refusals where no other entry serves or the length is unknown.
    Given an entry with a grace of 5 s that stopped <elapsed> s ago beside <others> others
    And its streams take 0.3 s to the first of their events, <interval>
    When a caller asks for a stream with <answer>
    Then the stream is <result>

    Examples: Connections are cut off 4.65 s after SIGTERM; an event has 4 tokens
      | elapsed | others | interval      | answer                          | result   |
      | 0.0     | 1      | 0.1 s apart   | at most 160 tokens              | accepted |
      | 0.0     | 1      | 0.1 s apart   | at most 176 tokens              | refused  |
      | 0.0     | 0      | 0.1 s apart   | at most 176 tokens              | accepted |
      | 0.0     | 1      | of unknown interval | at most 176 tokens        | accepted |
      | 1.0     | 1      | 0.1 s apart   | at most 160 tokens              | refused  |
      | 1.0     | 1      | 0.1 s apart   | at most 160 tokens, 100 hinted  | accepted |
      | 2.0     | 1      | 0.1 s apart   | at most 160 tokens, 100 hinted  | refused  |
      | 2.0     | 1      | 0.1 s apart   | at most 160 tokens, 100 hinted, 10 events received | accepted |
      | 2.9     | 1      | 0.01 s apart  | at most 4 tokens                | refused  |
      | 2.9     | 0      | 0.01 s apart  | at most 4 tokens                | refused  |

  Scenario Outline: A stream that surely ends in time is served at any moment
    Guards against refusals of all streams for the rest of a long grace period.
    Late ones keep a reserve, so that an engine's loss does not cut them off.
    Given an entry with a grace of <grace> s that stopped <elapsed> s ago beside 1 others
    And its streams take 0.5 s to the first of their events, <interval>
    When a caller that may wait <left> s asks for a stream with at most 40 tokens
    Then the stream is <result>

    Examples: 10 events take 1.5 s, and need 5.5 s of the time that is left
      | grace | elapsed | interval            | left | result   |
      | 8     | 2.9     | 0.1 s apart         | 20   | refused  |
      | 30    | 2.9     | 0.1 s apart         | 20   | accepted |
      | 30    | 24.0    | 0.1 s apart         | 20   | accepted |
      | 30    | 24.3    | 0.1 s apart         | 20   | refused  |
      | 30    | 2.9     | of unknown interval | 20   | accepted |
      | 30    | 9.7     | of unknown interval | 20   | refused  |
      | 8     | 2.9     | 0.1 s apart         | 4    | accepted |
      | 8     | 4.0     | 0.1 s apart         | 4    | refused  |

  Scenario Outline: A late stream counts with the most events that it may have
    Guards against streams that are cut off since their callers expected short
    answers, or no one knew a length, and were accepted too late to be excused.
    Given an entry with a grace of 30 s that stopped 20.0 s ago beside 1 others
    And its streams take 0.5 s to the first of their events, 0.1 s apart
    And its engines usually answer with 40 tokens
    When a caller asks for a stream with <answer>
    Then the stream is <result>

    Examples: 9.65 s are left; 10 events need 5.5 s of them, 100 need 23.5 s
      | answer                                                  | result   |
      | at most 400 tokens, 40 hinted                           | refused  |
      | at most 400 tokens                                      | refused  |
      | at most 0 tokens, 40 hinted                             | refused  |
      | at most 0 tokens                                        | refused  |
      | at most 40 tokens, 400 hinted                           | accepted |
      | at most 400 tokens, 40 hinted, 90 events received       | accepted |
      | at most 400 tokens, 40 hinted, 9 events received        | refused  |

  Scenario: A late stream counts with the slowest of the recent ones
    Guards against streams that are cut off since they run on slower engines
    than most.
    Given an entry with a grace of 30 s that stopped 20.0 s ago beside 1 others
    And its streams take 0.5 s to the first of their events, 0.1 s apart
    And the slowest of its streams had events 1.0 s apart
    When a caller asks for a stream with at most 40 tokens
    Then the stream is refused

  Scenario Outline: A stream that has run is sent again while it may end in time
    Guards against an unknown outcome where another run could still be whole.
    Given an entry with a grace of 8 s that stopped <elapsed> s ago beside 1 others
    And its streams take 0.5 s to the first of their events, <interval>
    When the only run of a stream with at most 40 tokens has broken off
    Then the stream may be sent <result>

    Examples: 10 events take 1.5 s
      | elapsed | interval            | result        |
      | 5.9     | 0.1 s apart         | again         |
      | 6.0     | 0.1 s apart         | no more       |
      | 7.0     | of unknown interval | again         |

  Scenario: An event id of any length is no fault of the entry
    Guards against a request without an answer, since Python converts no number
    of more than 4,300 digits.
    Given an entry with a grace of 5 s that stopped 0.0 s ago beside 1 others
    And its streams take 0.3 s to the first of their events, 0.1 s apart
    When a caller resumes a stream of 176 tokens behind an id of 5000 digits
    Then the stream is refused

  Scenario: The usual answer counts where the caller names no length
    Guards against refusals by the maximum, which callers set far too high.
    Given an entry with a grace of 5 s that stopped 1.0 s ago beside 1 others
    And its streams take 0.3 s to the first of their events, 0.1 s apart
    And its engines usually answer with 40 tokens
    When a caller asks for a stream with at most 4000 tokens
    Then the stream is accepted

  Scenario: The grace period begins with the signal, also while the loop is busy
    Guards against streams that are accepted for too long, and against a kill
    before open requests are ended.
    When SIGTERM arrives 0.1 s into a callback of the event loop that takes 0.6 s
    Then the grace period has begun within 0.05 s of the signal

  Scenario: The mechanism can be switched off
    Given an entry with a grace of 5 s that stopped 0.0 s ago beside 1 others
    And its streams take 0.3 s to the first of their events, 0.1 s apart
    And the mechanism "stop-by-length" is off
    When a caller asks for a stream with at most 4000 tokens
    Then the stream is accepted

  Scenario Outline: The interval of events is that of the events, not of reads
    Guards against lengths that are too long where events come together, and
    against a fault at the end of a stream whose events have no ids.
    Given an entry with a grace of 5 s that stopped 0.0 s ago beside 1 others
    When 16 runs end, 1.0 s and <count> numbered events after their first ones
    Then the interval of events is <interval>

    Examples:
      | count | interval |
      | 20    | 0.05     |
      | 0     | unknown  |

  Scenario Outline: A refused stream was not sent, and is served elsewhere
    Guards against a refusal that comes late or is untrue: a second run.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a" that stops by length
    And 1 other entries that are ready
    And the entry has served 20 streams
    When a caller starts to stream 300 events as "s-1"
    And the entry is stopped, and 0.5 s later asked for a stream "s-2" of <tokens> tokens
    Then "s-2" got <status> within <seconds> s and ran <runs> times

    Examples:
      | tokens | status | seconds | runs |
      | 4000   | 503    | 0.3     | 0    |
      | 40     | 200    | 2.0     | 1    |

  Scenario: A call is accepted just if it ends before the process does
    Guards against calls that are cut off, or refused though they could be
    answered, for any grace period, deadline and duration.
    Then any call that takes no longer than the recent ones is answered in time
    And any call is accepted whose deadline comes before the end

  Scenario: A late stream is accepted just if it ends at any length
    Guards against streams that are cut off, for any grace period, length, and
    pace of the recent ones.
    Then any stream that is accepted late ends in time at the slowest pace and greatest length
    And what its caller expects makes no difference to that

  Scenario Outline: What is known of a rule's calls decides, then its target
    Given <count> calls of a rule that took 2 s each
    Then a call of that rule with a target of <target> s is expected to take <seconds> s

    Examples: The longest one counts 1.5 times, the target twice
      | count | target | seconds |
      | 0     | 0.4    | 0.8     |
      | 3     | 0.4    | 3.0     |
      | 3     | 4.0    | 8.0     |
      | 4     | 4.0    | 3.0     |

  Scenario Outline: A refused caller returns when it meets an entry that serves
    Guards against retries that meet another entry of a failure domain whose
    entries all shut down at once.
    Given an entry with a grace of 8 s that stopped <elapsed> s ago beside 0 others
    And <near> entries serve in its failure domain and <far> in others
    Then a caller that may wait <left> s is told to return after <seconds> s

    Examples: The balancer has noticed after 2.6 s, a new process serves after 9 s
      | elapsed | near | far | left | seconds |
      | 0.5     | 1    | 0   | 30   | 0.1     |
      | 0.5     | 0    | 3   | 30   | 2.1     |
      | 0.5     | 0    | 3   | 3    | 1.0     |
      | 3.0     | 0    | 3   | 30   | 0.1     |
      | 3.0     | 0    | 0   | 30   | 6.0     |
      | 6.0     | 0    | 0   | 3    | 1.0     |
