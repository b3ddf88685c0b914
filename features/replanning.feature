Feature: The entry learns which endpoints are slow, and plans again

  Background:
    Given an entry with two agents that each hold the whole model
    And the first agent's steps take 10 ms and the second's 10 ms

  Scenario: A stage that turns slow loses its share and gets it back
    When the first agent's steps turn ten times slower
    Then the entry's plan gives the first agent under a quarter
    And at most 12 of 40 requests are sent to the first agent
    When the first agent's steps are fast again
    Then the entry's plan gives the first agent over two fifths

  Scenario: A team's prompts return to where their prefix is cached
    When "diner" and "rival" each send one long prompt 8 times
    Then each team's prompts went to one agent
    And the agents saw a salt for each team that its name does not give
