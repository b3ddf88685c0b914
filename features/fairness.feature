Feature: No member takes what the others need
  A member that floods gets its share of what is contended and no more.

  Scenario: Requests of one member leave threads of an entry to others
    Given an HTTP server of 10 threads whose requests name their groups
    When 20 requests of group "flood" are open
    Then 8 of them run and the others are refused by the application
    When a request of group "steady" is sent
    Then it runs beside them
    When all of them have ended
    Then no group holds a thread
