Feature: Most new connections go to one entry
  Guards against an entry that refuses or loses what the others had room for
  when the load balancer hands it most new connections.

  Scenario: An entry that gets most new connections serves them as before
    Given 3 entries before engines in five failure domains
    When 12 callers open a connection for each request for 4 s
    And 24 callers then open most of them to one entry for 8 s
    Then from 3 s on at least three quarters as many are served at the first try
