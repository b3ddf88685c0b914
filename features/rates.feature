Feature: How fast an endpoint works off what waits for it

  Scenario: Answers that end in clumps do not make an endpoint seem slow
    Given an endpoint whose batches of 16 answers of 50 each take 16 s
    When it has been busy for 160 s
    Then from the first end on its rate was always between 25 and 75

  Scenario: Short answers that end first do not make an endpoint seem slow
    Given an endpoint whose batches of answers from 16 to 96 take 24 s
    When it has been busy for 240 s
    Then from the first end on its rate was always between 30 and 60

  Scenario: An endpoint that becomes slower shows it
    Given an endpoint whose batches of 1 answers of 50 each take 1 s
    When it has been busy for 30 s
    And its batches take 10 s from now on
    And it has been busy for 60 s
    Then its rate is between 5 and 6

  Scenario: An endpoint that has stopped shows it in the end
    Given an endpoint whose batches of 1 answers of 50 each take 1 s
    When it has been busy for 30 s
    And its batches take 1000 s from now on
    And it has been busy for 300 s
    Then its rate is between 1 and 6

  Scenario: An endpoint without enough work says nothing of its rate
    Given an endpoint whose batches of 1 answers of 50 each take 1 s
    When it has been busy for 30 s
    And it has been idle for 600 s
    Then its rate is between 49 and 51
