Feature: Entries in step with a store that loses time
  The follower, registrar and leadership of three entries run in virtual
  time. New versions, runner changes, restores from a backup, network cuts,
  late writes and restarts happen in any order.

  Scenario: Entries are in step again whatever the store went through
    When troubles of the store come in 150 orders
    Then all entries are in step again after each of them

  Scenario: Versions only rise, by whichever way they come
    When the same come in 60 orders beside large configurations, narrow links and neighbours
    Then all entries are in step again after each of them

  Scenario: An endpoint that is gone stays gone over two copies that hold it
    When an endpoint is gone and two copies that hold it come back
    Then no entry uses it again
