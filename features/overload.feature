Feature: Room for streams under overload
  Simulates load on the routing decisions, with the accelerators of a real
  deployment. Guards against requests refused while memory is free.

  Scenario Outline: Memory bounds what a failure domain serves, not its first endpoints
    Given a failure domain with <cards>
    When usual streams arrive in it until one finds no chain
    Then it serves at least 0.7 of what its memory holds

    Examples:
      | cards                     |
      | 3 a100, 6 v100 and 7 l4   |
      | 1 a100, 9 v100 and 10 l4  |
      | 1 a100, 14 v100 and 5 l4  |
      | 0 a100, 12 v100 and 4 l4  |

  Scenario: Fast engines keep room for streams that can run nowhere else
    Given fast engines of layers 0 to 28 and 24 to 52, and slow ones of the rest
    When usual streams arrive in it until one finds no chain
    Then it serves at least 0.7 of what its memory holds

  Scenario: The loss of a first endpoint leaves places for new streams
    Given a failure domain with 1 a100, 14 v100 and 5 l4
    When any one of its first endpoints is lost
    Then at least 0.6 of its places for new streams are left

  Scenario: Copies are made of memory that requests don't need
    Given a failure domain with 3 a100, 6 v100 and 7 l4
    Then its cards hold 2 copies of the model
    Given a failure domain with 0 a100, 12 v100 and 4 l4
    Then a quarter of its memory or more is kept for requests

  Scenario: The layers for which nobody has room are named
    Given a failure domain with 0 a100, 12 v100 and 4 l4
    When usual streams arrive in it until one finds no chain
    Then layers without room are named, each with the engines that hold it
    And none are named once these engines have room

  Scenario: No chain crosses a pipe while one domain has a whole chain
    Given slow cards of "a" that hold all layers and fast ones of "b" that hold half
    When 20 usual streams arrive in "a" or "b"
    Then none of their chains crosses a pipe
    When the other half of "a" is lost
    Then a stream gets a chain that crosses the pipe
    And layers 40 to 80 of "a" are named as those without room

  Scenario: A still run that shares its chain with few others accuses nobody
    Given a chain of 12 engines that stands still since 10.0
    When other streams moved through 5 of them at 10.1
    Then the run accuses nobody
    When other streams moved through 11 of them at 10.1
    Then the run accuses the one without progress

  Scenario: A stream under way is not cut while its caller waits
    Given a stream with a target of 0.5 s and pauses of 0.25 s
    When it loses its chain at 10.0
    Then it waits for another one beyond 12.0, when its caller leaves
    Given a stream with a target of 0.5 s and pauses of 0.4 s
    When it loses its chain at 10.0
    Then it waits for another one beyond 13.2, when its caller leaves

  Scenario: Entries with old news of other domains do not all send there
    Given 123 engines in 5 failure domains and 6 entries in each
    When streams arrive for 8 s at 0.5 of what their domains hold
    Then at least 0.85 of the chains stay in their caller's domain
    And engines refuse less than 0.02 of the sends
    When streams of one domain come at 1.5 of what it holds
    Then at least 0.9 of them are served, some in other domains

  Scenario: One scarce engine is not asked by each entry in vain
    Given 68 entries that all need one engine with room for 60 streams
    When 120 streams a second come for it over 6 s
    Then it refuses a third at most of what it does if entries tell nothing
    And it serves at least 0.9 of what it could
