Feature: A team at its share finds a slot beside a flood
  An event simulation of the queue and the slots of one endpoint. It guards
  against a team within its share waiting behind the flood of another.

  Scenario Outline: A team of weight <weight> at <part> of its share waits for no flood
    Given an endpoint whose queue team "flood" fills
    And team "steady" of <weight> times its weight asks for <part> of its share
    When 600 s have passed
    Then 95 of 100 requests of "steady" waited under 0.1 s
    And at least 0.90 of the slots were in use

    Examples:
      | weight | part |
      | 0.333  | 0.90 |
      | 0.333  | 0.95 |
      | 1.0    | 0.95 |
      | 3.0    | 0.95 |

  Scenario Outline: A team that always wants <count> slots of 16 gains nothing
    Given an endpoint whose queue team "flood" fills
    And team "greedy" always wants <count> slots
    When 600 s have passed
    Then "greedy" got from 0.45 to 0.55 of the service

    Examples:
      | count |
      | 10    |
      | 16    |
      | 60    |
