Feature: An answer ends its run
  A run that is closed only by the garbage collector keeps its resources
  after the answer was sent.

  Scenario Outline: A run has ended when its answer is given
    Given a run of a completion that ends with <ending>
    When its <kind> answer is given and the garbage collector does not run
    Then the run was closed before

    Examples:
      | kind     | ending    |
      | buffered | all       |
      | buffered | a refusal |
      | streamed | all       |
      | streamed | a refusal |
