Feature: No team takes what the others need
  Guards against starvation: a team that sends more requests than its share
  gets no more than that share of a contended resource.

  Scenario: Requests of one team leave threads of an entry to others
    Given an HTTP server of 10 threads whose requests name their groups
    When 20 requests of group "flood" are open
    Then 8 of them run and the others are refused by the application
    When a request of group "steady" is sent
    Then it runs beside them
    When all of them have ended
    Then no group holds a thread

  Scenario: A team below its share waits for nobody's round
    Given a fair queue that team "flood" fills with requests of cost 500
    When 20 requests are picked and team "steady" queues one of cost 500
    Then the next pick is of team "steady"

  Scenario Outline: <kind> gain a team nothing
    Given a fair queue that team "flood" fills with requests of cost 500
    When team "other" sends <kind> while 400 requests are picked
    Then the real cost of "other" is from 0.40 to 0.55 of all

    Examples:
      | kind                          |
      | requests one at a time        |
      | requests of four times the cost that was estimated |
      | many tiny requests            |
      | huge requests                 |

  Scenario: Slots that a team used lately are kept for it
    Given 16 slots of which team "steady" of weight 1 uses 4 at most
    And team "flood" of weight 3 wants as many as it can get
    When teams come and go for 1000 moments
    Then a slot was free each time that "steady" came
    And "flood" had all 16 slots once "steady" had been away for 10 s

  Scenario: A full KV memory preempts the newest session of the stand-in
    Given stand-in sessions in a KV memory of 20 positions that preempts
    When sessions "old" and "new" of the stand-in fill 9 positions each
    Then "old" gets room for 5 more, and "new" has to wait for its next step
    When the stand-in's session "old" is freed
    Then "new" goes on after 9 positions have been run again

  Scenario: Chains that share later stages crosswise do not block each other
    Given two heads and four later stages that take one request at a time
    When 24 completions are asked for at once
    Then all of them are answered whole
    And chains over later stages in at least 3 combinations ran
