Feature: Capacity that is kept free for urgent requests
  Without a reserve, streams of the least urgent callers take all engines
  between two bursts of urgent ones, and the next burst waits for seconds.

  Scenario: Nothing is reserved without need
    Guards against idle capacity where no urgent caller exists or where the
    urgent ones have left.
    Given 20 slots of a service with 4 entries
    When 15 requests of priority 2 last 1 s each, within 10 s
    Then 0.0 is reserved from priority 2
    When 15 requests of priority 0 last 1 s each, within 10 s
    Then 0.12 is reserved from priority 2
    And 0.0 is reserved from priority 0
    When no request arrives for 9.2 s
    Then 0.03 is reserved from priority 2
    When no request arrives for 0.2 s
    Then 0.0 is reserved from priority 2

  Scenario: The reserve follows the need and has a bound
    Guards against a reserve that takes the share of less urgent requests
    however many urgent ones arrive.
    Given 200 slots of a service with 4 entries
    When 60 requests of priority 0 last 1 s each, within 10 s
    Then 0.02 is reserved from priority 2
    When 6000 requests of priority 0 last 4 s each, within 10 s
    Then 0.2 is reserved from priority 2

  Scenario: Urgent calls find slots after a burst of the least urgent
    The urgent callers pause for 6 s, in which the least urgent ones send 2.3
    times their usual rate, more than the service holds.
    Given 5 plain endpoints with 6 slots and 4 entries
    When 30 requests of priority 0 last 1 s each, within 10 s
    And no request arrives for 6 s
    And calls of priority 2 arrive until none finds a slot
    Then 32 of them run
    And 3 calls of priority 0 find a slot

  Scenario: Urgent streams find engines after a burst of the least urgent
    Five engines with 4 slots run 20 streams. A reserve of 2.4 streams must
    not vanish when slots are rounded to whole ones, nor take one of each.
    Given 5 engines with 4 first slots and 4 entries
    When 15 requests of priority 0 last 1 s each, within 10 s
    And streams of priority 2 arrive until none finds an engine
    Then 18 of them run
    And 2 streams of priority 0 find an engine

  Scenario: An idle endpoint takes any request
    Guards against a least urgent request that waits beside an idle endpoint,
    since it needs more than what is not reserved.
    Then a reserve of 0.2 keeps no call from an idle endpoint with 1 slot
    And it changes no choice on any fleet of idle engines

  Scenario: Nothing changes where nothing is reserved
    Guards against other choices where all requests have one priority.
    Then a choice with a reserve of 0.0 is the usual one on any fleet
    And one with a reserve of 0.2 leaves that part of each busy engine free

  Scenario: The capacity of engines is that of their scarcest layers
    Guards against a reserve that is sized by engines whose layers are ample.
    Then 2 engines with the first half of the layers and 1 with the second run 50 streams
    And 2 engines with the first half of the layers and 0 with the second run 0 streams

  Scenario Outline: An operator switches the reserve off while it runs
    Guards against a reserve that stays after it was switched off.
    Given an entry with <setting> that saw urgent calls
    Then <part> of the slots is reserved from priority 2
    And nothing is reserved from what is owed a start or under way

    Examples:
      | setting           | part |
      | the defaults      | 0.0  |
      | sharing on        | 0.2  |
      | the reserve off   | 0.0  |
      | the mechanism off | 0.0  |

  Scenario: The most urgent requests do not look at all endpoints
    Guards against work for each request where nothing is to be reserved.
    Given an entry with sharing on that saw urgent calls
    Then the endpoints are read for a request of priority 2 and not of priority 0

  Scenario: An entry applies the reserve to calls and to streams
    Guards against a reserve that is computed and given to no choice.
    Given an entry with sharing on that saw urgent calls
    When 9 of 10 slots of its only endpoint are taken
    Then a call of priority 2 finds no slot and one of priority 0 does
    When 9 of 10 first slots of its only engine are taken
    Then a stream of priority 2 finds no chain and one of priority 0 does

  Scenario: An entry sizes the reserve by the requests that it serves
    Guards against a reserve that stays 0, or that counts refused requests as
    short ones.
    Given an entry that serves calls of priority 0
    When it serves one at once
    Then less than 0.05 of one slot is reserved from priority 2
    When it refuses 100 others
    Then more than 0.15 of one slot is reserved from priority 2
