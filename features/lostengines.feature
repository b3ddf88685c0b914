Feature: Failover of streams when an engine dies
  Simulates the failover decisions for many streams whose events alternate.
  Guards against streams that stay on a dead engine and against the ejection
  of sound engines.

  Scenario: The only chain of a failure domain loses an engine
    Given 26 streams on one chain of 11 engines, with an event each 0.032 s
    And the longest pause of a usual stream is 0.06 s
    When the engine 4 dies
    Then all streams are moved within 0.145 s of their last event
    And no sound engine is left out

  Scenario: A stream that names the dead engine names it for all
    Given 26 streams on one chain of 11 engines, with an event each 0.032 s
    And the longest pause of a usual stream is 0.06 s
    And 3 streams that share all of them but engine 4
    When the engine 4 dies
    Then all streams are moved within 0.13 s of their last event
    And engine 4 alone is left out

  Scenario: Nothing is moved while all streams are only slow
    Given 26 streams on one chain of 11 engines, with an event each 0.032 s
    And the longest pause of a usual stream is 0.06 s
    When all stand still for 0.08 s
    Then no stream is moved

  Scenario: What is usual is learnt from streams, and bounded
    Given the longest pause of a usual stream is 0.06 s
    Then a stream that may pause for 0.2 s is moved after 0.09 s if few engines are suspected, and after 0.132 s in any case
    Given the longest pause of a usual stream is 0.01 s
    Then a stream that may pause for 0.2 s is moved after 0.06 s if few engines are suspected, and after 0.12 s in any case
    Given the longest pause of a usual stream is 0.5 s
    Then a stream that may pause for 0.2 s is moved after 0.12 s if few engines are suspected, and after 0.4 s in any case

  Scenario: An engine that few streams use is not named for their pauses
    Given 26 streams on one chain of 11 engines, with an event each 0.032 s
    And the longest pause of a usual stream is 0.06 s
    And 1 streams that share all of them but engine 4
    When that one stands still for 0.115 s
    Then no stream is moved

  Scenario: Streams are moved in time for their prompts to be read again
    Given 26 streams on one chain of 11 engines, with an event each 0.032 s
    And the longest pause of a usual stream is 0.06 s
    And 6 streams that share all of them but engine 4
    When the engine 4 dies
    Then all streams are moved within 0.11 s of their last event
    And engine 4 alone is left out
