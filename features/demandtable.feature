Feature: What entries know of the requests that wait at others
  Guards against urgent requests that wait at one entry while others give
  capacity to less urgent ones, and against notices that cost too much or
  mislead. Times are arguments or virtual; datagrams are lost, doubled and
  delayed by a seeded transport.

  Scenario: The load of a team is that of all entries
    Guards against a team that gets more by sending through several entries.
    Given a table where team red has 2 of weight 2 in flight and 1 waiting at priority 1
    When entry e1 tells 1 1 red 4 15 7 and entry e2 tells 1 1 red 2 30 3
    Then team red has a load of 5.5 at priority 1
    And 12 requests start a second
    And the totals of red are 1 and 6 waiting, 1 and 4.5 in flight

  Scenario Outline: The entry with the most urgent request is named first
    Guards against capacity that goes to a less urgent or better served one.
    Given a table
    When entry e1 tells 1 2 red 4 0 0 and entry e2 tells 1 0 blue 2 50 0
    And entry e3 tells 1 1 red 1 9 0 and entry e4 tells 1 1 green 8 30 0
    Then a request of priority <priority> and load <load> waits for <entries>, with <ahead> ahead

    Examples:
      | priority | load | entries     | ahead |
      | 0        | 4    |             | 0     |
      | 0        | 5    |             | 1     |
      | 0        | 6    | e2          | 2     |
      | 1        | 1.8  | e2          | 2.5   |
      | 1        | 2    | e2 e3       | 3     |
      | 1        | 3    | e2 e3       | 7     |
      | 1        | 4    | e2 e3 e4    | 11    |
      | 2        | 0    | e2 e3 e4    | 13    |
      | 3        | 0    | e2 e3 e4 e1 | 15    |

  Scenario: Nobody waits for an entry that is silent for 0.5 s
    Guards against capacity left idle for an entry that died or is cut off.
    Given a table
    When entry e1 tells 1 0 red 4 0 0 and entry e2 tells 1 0 red 4 0 0
    And entry e2 repeats it after 0.4 s
    Then after 0.49 s requests are known to wait at e1 e2
    And after 0.51 s requests are known to wait at e2
    And after 0.91 s requests are known to wait at none

  Scenario Outline: Demand of the heard entries stands for that of all
    Guards against refusals that underrate queues in large deployments, and
    against single queues that are taken for hundreds after a calm.
    Given a table of <listed> other entries
    When <heard> of them tell 1 1 red 2 10 3
    Then about <ahead> requests are ahead and <rate> start a second

    Examples:
      | listed | heard | ahead | rate  |
      | 5      | 1     | 2     | 3     |
      | 5      | 5     | 10    | 15    |
      | 369    | 1     | 61.5  | 92.25 |
      | 369    | 30    | 738   | 1107  |

  Scenario: Services that are not shared leave no trace
    Guards against changes for deployments that share nothing, and against
    counts that stay when a service stops being shared during a request.
    Given a table where team red has 2 of weight 2 in flight and 1 waiting at priority 1
    When the service is no longer shared
    And entry e1 tells 1 0 red 4 0 0 and entry e2 tells 1 0 red 4 0 0
    Then nothing of it is told, pressed, ahead or outranking
    And nothing is left when its requests end and others come and go

  Scenario: Whatever others tell, the table stays small
    Guards against memory that grows with forged or faulty notices.
    Given a table
    When 600 entries tell 100 rows each, of ever other services and teams
    Then 512 entries with 64 rows each are kept
    And after 0.51 s none

  Scenario Outline: Notices can be read whatever priorities and weights are
    Guards against an entry whose notices are all refused, or that sends none,
    since a team has a priority or a weight beyond what a row can hold.
    Given a table with a request of priority <priority> and weight <weight> that waits and one in flight
    Then its notice is read with priority <told> and a load of <load>

    Examples:
      | priority | weight | told  | load  |
      | -1       | 1      | 0     | 10    |
      | 70000    | 1      | 65535 | 10    |
      | 1        | 1e-9   | 1     | 65535 |
      | 1        | 1e-320 | 1     | 65535 |
      | 1        | 1e300  | 1     | 0     |

  Scenario: At most 32 rows are told, those with waiting requests first
    Guards against datagrams that grow with the number of teams.
    Given a table with 10 waiting teams and 50 with requests in flight
    Then 32 rows are told, 10 of them waiting, then the largest loads
    And with a limit of 4 only those that wait are told
    And either tells all 50 starts

  Scenario: Late and doubled notices are ignored, a restarted sender is not
    Guards against old demand that replaces new one, and against deafness
    towards an entry that restarted with a lower sequence number.
    Given an entry among 3 others
    When e1 tells 5 waiting with sequence number 10
    And 0.4 s pass without a notice
    And e1 tells 7 waiting with sequence number 10
    And e1 tells 8 waiting with sequence number 9
    Then 5 requests are known to wait
    When 2.1 s pass without a notice
    And e1 tells 4 waiting with sequence number 1
    Then 4 requests are known to wait

  Scenario: Malformed notices and those of strangers change nothing
    Guards against damaged, forged or newer datagrams that break an entry.
    Given an entry among 3 others
    When e1 tells 5 waiting with sequence number 10
    And 3000 damaged notices arrive
    And a stranger tells 9 waiting
    Then 5 requests are known to wait
    And the damaged ones are counted
    When e2 tells 2 waiting with fields that are unknown here
    Then 7 requests are known to wait

  Scenario: Capacity is offered to the entry with the most urgent request
    Guards against capacity that stays idle until the next regular message, and
    against a message for each of many releases.
    Given an entry among 3 others
    When e2 tells 2 waiting with sequence number 1
    And capacity is released 50 times within 0.1 s
    Then e2 alone was told, 11 times
    When a request as urgent as that waits here and capacity is released
    Then nobody is told

  Scenario: No bytes are sent in calm
    Guards against costs for deployments without contention.
    Given 6 entries
    When nothing waits for 10 s
    Then nothing was sent
    When 2 kinds of requests wait for 1 s at the first entry
    And nothing waits for 1.6 s
    Then every entry sent something, and none sends within the next 10 s

  Scenario Outline: All entries know what waits within 0.5 s
    Guards against capacity given away while others wait unheard.
    Given <entries> entries
    When 2 kinds of requests wait for 0.5 s at all entries
    Then every entry knows all that wait

    Examples:
      | entries |
      | 3       |
      | 6       |
      | 12      |
      | 30      |

  Scenario Outline: However many entries are pressed, 5 KB/s are sent by each
    Guards against control traffic that grows with the deployment.
    Given <entries> entries
    When <kinds> kinds of requests wait for <seconds> s at all entries
    Then each sent at most 5000 bytes a second, and 5000 once
    And each knows of at least <heard> other entries

    Examples:
      | entries | kinds | seconds | heard |
      | 6       | 40    | 4       | 3     |
      | 30      | 2     | 4       | 25    |
      | 100     | 2     | 3       | 20    |
      | 370     | 2     | 2       | 20    |

  Scenario Outline: Lost, doubled and late notices delay knowledge only
    Guards against entries that are overlooked for long, or waited for after
    they have stopped waiting.
    Given <entries> entries, and half of the notices lost, doubled and late by up to 0.2 s
    When 2 kinds of requests wait for 2 s at all entries
    Then every pair of entries but <missed> of all knows of each other
    When nothing waits for 0.9 s
    Then nobody knows of waiting requests

    Examples:
      | entries | missed |
      | 4       | 0.1    |
      | 12      | 0.2    |
