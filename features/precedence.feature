Feature: Requests for a shared service are ordered over all entries
  Runs the admission of entries in virtual time, with streams of about 1 s for
  20 slots. Guards against urgent requests and small teams that wait behind a
  flood, against starved priorities, and against idle capacity.

  Scenario: Waiting requests are ordered by priority, queue class and load
    Guards against a team that takes what is due to one with a lower load, and
    against callers that gain a place by repeating.

    Given an entry whose team "big" holds 3 slots and "small" holds 1
    And these requests wait there in the order of their arrival
      | name | priority | team  | class     |
      | a    | 2        | small | FRESH     |
      | b    | 1        | big   | FRESH     |
      | c    | 1        | small | RETRIED   |
      | d    | 1        | small | FRESH     |
      | e    | 1        | big   | UNDER_WAY |
      | f    | 0        | big   | RETRIED   |
      | g    | 1        | small | FRESH     |
      | h    | 2        | big   | FRESH     |
    Then they go in the order "f e d g b c a h"

  Scenario: Retried requests of a less loaded team pass no fresh ones
    Guards against streams that start too late: of 1.5 times the capacity 0.60
    was in time with the load first, 0.68 with the queue class first.

    Given an entry whose team "big" holds 3 slots and "small" holds 1
    And these requests wait there in the order of their arrival
      | name | priority | team  | class   |
      | a    | 0        | small | RETRIED |
      | b    | 0        | small | RETRIED |
      | c    | 0        | big   | FRESH   |
      | d    | 0        | small | FRESH   |
    Then they go in the order "d c a b"

  Scenario: Only one request goes first as its priority is owed a start
    Guards against capacity that is idle since those owed can't use it.

    Given an entry whose team "big" holds 3 slots and "small" holds 1
    And these requests wait there in the order of their arrival
      | name | priority | team  | class |
      | a    | 2        | small | FRESH |
      | b    | 2        | small | FRESH |
      | c    | 0        | small | FRESH |
    When 4 requests of priority 0 start
    Then they go in the order "a c b"

  Scenario Outline: Lower priorities keep their minimum share of the starts
    Guards against urgent work that starves all else.

    When 120 requests start while priorities <waiting> always wait
    Then the starts by priority are <starts>

    Examples:
      | waiting | starts      |
      | 0 2     | 90 30       |
      | 0 1 2   | 60 30 30    |
      | 0 1 2 3 | 60 20 20 20 |

  Scenario: A lower priority gets a quarter under urgent overload
    Guards against priority 2 that starves at 1.5 times the capacity.

    Given 4 entries that admit requests
    When priority 0 comes at 30 and priority 2 at 10 requests a second to all
    Then priority 2 gets 0.22 to 0.28 of the starts and priority 0 the rest
    And each request is recorded as it arrives, starts and ends

  Scenario: Capacity that another entry does not use is idle for 0.1 s at most
    Guards against waiting for an entry that died or can't use the capacity.

    Given 1 entries that admit requests
    And entry "x" tells of 5 waiting requests of priority 0
    When 3 requests of priority 1 arrive while 2 slots are free
    Then 2 of them start after 0.1 s and the others wait
    And a yield ends as "unused"
    And the log names the entry "x" once

  Scenario: An entry starts few requests after a yield that was not used
    Guards against one entry that takes nine slots at once before a more
    urgent request elsewhere has looked for capacity.

    Given 1 entries that admit requests
    And entry "x" tells of 5 waiting requests of priority 0
    When 12 requests of priority 1 arrive while 9 slots are free
    Then 0 of them have started after 0.05 s
    And 2 of them have started after 0.15 s
    And 4 of them have started after 0.25 s

  Scenario: Capacity that the other entry takes is yielded again
    Guards against a request that jumps ahead after its first yield.

    Given 1 entries that admit requests
    And entry "x" tells of 5 waiting requests of priority 0
    When 1 requests of priority 1 arrive while 1 slots are free
    And the other entry takes a slot after 0.05 s and frees it after 0.15 s
    Then 0 of them start after 0.1 s and the others wait
    And a yield ends as "used"

  Scenario: Others go on where a request finds nothing after its yield
    Guards against capacity that is idle while requests wait that could use it.

    Given 1 entries that admit requests
    And entry "x" tells of 5 waiting requests of priority 0
    When 2 requests wait and the first finds nothing any more after its yield
    Then the second looks for capacity at the same time

  Scenario: Others go on while a request waits for a permit
    Guards against capacity that is idle since the first request waits for the
    permit of an endpoint with a rate limit.

    Given 1 entries that admit requests
    When 5 requests wait and the first waits for a permit for 1 s
    Then the others look for capacity at the same time

  Scenario: Requests that need more than is free do not stop those behind
    Guards against capacity that is idle behind a few long streams.

    Given 1 entries that admit requests
    When 6 requests wait of which the first 4 find nothing in 3 rounds
    Then the last 2 have started

  Scenario: A request behind one that finds nothing looks soon
    Guards against a refusal beside idle capacity: in calm nothing else wakes a
    request behind a stream whose engines have failed.

    Given 1 entries that admit requests
    When a request that fits arrives behind one that does not, and nothing ends
    Then the last 1 have started

  Scenario: At most 3 requests wait for permits
    Guards against a queue that waits for permits in the order of arrival.

    Given 1 entries that admit requests
    When 5 requests wait and all of them wait for permits for 1 s
    Then 3 of them look for capacity in the first second

  Scenario: A minimum share is kept against more urgent requests elsewhere
    Guards against an entry that yields without end.

    Given 1 entries that admit requests
    And entry "x" tells of 5 waiting requests of priority 0
    When priority 2 has yielded 4 times
    Then it does not yield the next time

  Scenario Outline: What is ahead decides on refusal and Retry-After
    Guards against a wait that is bound to be in vain, and against callers
    that all return into the same queue.

    Given 1 entries that admit requests
    And entry "x" tells of <elsewhere> waiting requests of priority 0
    And entry "x" tells of 20 starts in the last second
    And <here> requests of priority 0 wait here
    Then a request of priority 0 that may wait 0.3 s is <verdict>
    And its Retry-After is <low> to <high> s

    Examples:
      | here | elsewhere | verdict | low  | high |
      | 1    | 0         | queued  | 0.24 | 0.56 |
      | 3    | 4         | queued  | 0.24 | 0.56 |
      | 5    | 4         | refused | 0.24 | 0.56 |
      | 20   | 40        | refused | 1.2  | 2.8  |

  Scenario: A lower priority is not refused for the urgent ones ahead
    Guards against a minimum share that is lost at the door.

    Given 1 entries that admit requests
    And entry "x" tells of 40 waiting requests of priority 0
    And entry "x" tells of 20 starts in the last second
    Then a request of priority 2 that may wait 0.3 s is queued

  Scenario Outline: A large team leaves the others their share
    Guards against a team at 7.5 times its usual load, or one that floods a
    single entry, whose requests displace those of four small teams.

    Given 4 entries that admit requests
    When a team sends 40 requests a second to <large> and four others 2 each to <small>
    Then the four others get 0.9 of what they ask for
    And all capacity is used

    Examples:
      | large   | small       |
      | 0 1 2 3 | 0 1 2 3     |
      | 0       | 1 2 3       |

  Scenario: Urgent requests go first though the flood is at another entry
    Guards against capacity that goes to the entry which is asked most.

    Given 4 entries that admit requests
    When priority 2 comes at 40 to entry 0 and priority 0 at 6 to the others
    Then 0.9 of the requests of priority 0 start at the first try
    And all capacity is used

  Scenario Outline: A release ends the pause of an engine that refused as full
    Guards against capacity that is not seen for 0.3 s, as long as a fresh
    request waits: at 0.85 of the capacity a sixth of the requests were late.

    Given 1 entries that admit requests
    And engine "e" refuses here <count> times, "<known>" by what is known
    When <release> after 0.05 s
    Then engine "e" is <state>

    Examples:
      | count | known         | release                                | state   |
      | 1     | full          | a stream there ends                    | in use  |
      | 1     | full          | another entry tells of less use there  | in use  |
      | 1     | full          | another entry tells of equal use there | avoided |
      | 1     | full          | the refused send ends                  | avoided |
      | 3     | full          | a stream there ends                    | avoided |
      | 1     | far from full | a stream there ends                    | avoided |

  Scenario: A release ends the pause that another entry tells of
    Guards against entries that all miss a release since one was refused.

    Given 1 entries that admit requests
    And another entry tells that engine "e" is full
    When a stream there ends after 0.05 s
    Then engine "e" is in use

  Scenario: Releases end only some pauses of an engine that accepts nothing
    Guards against sends to an engine whose slots others take each time.

    Given 1 entries that admit requests
    When engine "e" refuses again after each of 4 releases
    Then engine "e" is avoided

  Scenario: An ejected engine is not used since something is released there
    Guards against requests to a failed engine.

    Given 1 entries that admit requests
    And engine "e" refuses here 1 times, "full" by what is known
    And engine "e" is ejected here
    When a stream there ends after 0.05 s
    Then engine "e" is avoided

  Scenario: A release ends no pause where requests are not shared
    Guards against a change for deployments with one priority.

    Given 1 entries that admit requests without sharing
    And engine "e" refuses here 1 times, "full" by what is known
    When a stream there ends after 0.05 s
    Then engine "e" is avoided

  Scenario Outline: Refusals use up more sends where requests are shared
    Guards against a refusal to the caller after three engines were full, while
    it could still be served in time.

    Given 1 entries that <do>
    When a request is sent <sends> times and refused each time
    Then it <may> be sent again

    Examples:
      | do                             | sends | may     |
      | admit requests                 | 6     | may     |
      | admit requests                 | 7     | may not |
      | admit requests without sharing | 2     | may     |
      | admit requests without sharing | 3     | may not |

  Scenario Outline: A request is counted once on every path
    Guards against entries that wait for requests that nobody asks any more, or
    loads of teams that grow without end. A stream waits again if its endpoint
    can't be reached.

    Given 1 entries that admit requests
    When a <kind> comes and <course>
    Then it was recorded to wait <waits>, start <starts> and end as often
    And it was sent to no endpoint and nothing is left of it

    Examples:
      | kind   | course                            | waits | starts |
      | call   | its endpoint can't be reached     | 0     | 1      |
      | stream | its endpoint can't be reached     | 1     | 1      |
      | call   | its caller leaves as it connects  | 0     | 1      |
      | stream | its caller leaves as it connects  | 0     | 1      |
      | call   | waits until its caller leaves     | 1     | 0      |
      | stream | waits until its caller leaves     | 1     | 0      |
      | call   | waits until its wait ends         | 1     | 0      |
      | stream | waits until its wait ends         | 1     | 0      |
      | call   | waits and then can't be connected | 1     | 1      |
      | stream | waits and then can't be connected | 2     | 1      |

  Scenario: A stream that waits for the retry budget waits for no capacity
    Guards against entries that leave capacity to a stream which can't use it.

    Given 1 entries that admit requests
    When a stream under way finds capacity while its retry budget is empty
    Then nothing is recorded to wait until it ends

  Scenario Outline: Sharing may be switched while requests wait and run
    Guards against requests that nobody wakes any more, or that stay counted.

    Given 1 entries that admit requests
    When sharing goes from <before> to <after> while requests run and wait
    Then all of them have started and nothing is left of them

    Examples:
      | before | after |
      | on     | off   |
      | off    | on    |

  Scenario: Requests of a service that is not shared are served as before
    Guards against a change for deployments with one priority.

    Given 1 entries that admit requests without sharing
    And entry "x" tells of 5 waiting requests of priority 0
    When 3 requests of priority 1 arrive while 2 slots are free
    Then 2 of them start after 0 s and the others wait
    And nothing of it is recorded or described
