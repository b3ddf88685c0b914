Feature: The platform's list of hosts
  Scenario: The last list stays when the platform is away
    Given a host list with "entry-1" live and "agent-1" leaving
    Then reading the host list gives both with their states
    When the host list goes away
    Then reading the host list fails and the last one stays
