Feature: Places for streams when load is at its worst
  Replays of load on decisions alone, with cards of a real deployment.

  Scenario: No chain crosses a pipe while one domain has a whole chain
    Given slow cards of "a" that hold all layers and fast ones of "b" that hold half
    When 20 usual streams arrive in "a" or "b"
    Then none of their chains crosses a pipe
    When the other half of "a" is lost
    Then a stream gets a chain that crosses the pipe
