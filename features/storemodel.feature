Feature: Entries in step with a store that loses time
  The follower, registrar and leadership of three entries run in virtual
  time. New versions, runner changes, restores from a backup, network cuts,
  late writes and restarts happen in any order.

  Scenario: Entries are in step again whatever the store went through
    When troubles of the store come in 150 orders
    Then all entries are in step again after each of them
