Feature: Endpoints judged by what flows through them for all entries
  Guards against healthy engines being suspected and dead ones being missed.
  With dozens of entries each has only a few streams, so most engines of a
  chain carry no other stream of the same entry, and the entry depends on the
  progress that other entries report.

  Scenario: An engine that no other stream of the entry uses is not suspected
    Given 14 entries with 3 streams each over 25 engines of one failure domain
    And a stream of each entry that waits for its first event
    When 0.6 s pass
    Then no engine is left out and no stream is moved

  Scenario: An engine that dies is found by what other entries tell
    Given 14 entries with 3 streams each over 25 engines of one failure domain
    When the engine most in use dies
    And 0.6 s pass
    Then it is left out by an entry, and no other engine by any
    And at least 0.7 of the streams through it are moved within 0.45 s
    And no other stream is moved

  Scenario: Streams that end tell nothing of their engines
    Given an entry with one stream that waits through engine "x"
    When another entry's stream flowed through "x" until 10.0 and then ended
    Then nothing is suspected from 10.0 to 11.0

  Scenario: What is told of flows takes a byte an endpoint
    Then ages of moves pass between entries, and older decoders pass over them

  Scenario: What is told of removals costs nothing while there are none
    Then a message without removals is as long as before
    And older decoders pass over removals, and read the rest

  Scenario: Doubts about an engine go where it is used
    Chains that leave a domain show that its engines are used from others.
    Given an entry of domain "a" among 68 entries of 5 domains
    When it leaves out an engine of domain "a"
    Then only the entries of domain "a" are told at once
    When it leaves out an engine of domain "c"
    Then the entries of all domains are told at once
    When an engine of domain "a" refuses it as full
    Then only the entries of domain "a" are told at once
    Given an entry of domain "a" among 15 entries of 5 domains
    When an engine of domain "a" refuses it as full
    Then the entries of all domains are told at once

  Scenario: Names are resolved once a listing
    Given an entry of domain "a" among 68 entries of 5 domains
    When 100 messages of others arrive, each of 123 engines
    Then the names were listed once
    When an engine comes and another 100 messages arrive
    Then the names were listed twice

  Scenario: Those that wait look again when something came free
    Given an entry of domain "a" among 68 entries of 5 domains
    And a request that waits there
    When 67 entries tell that they use more than before
    Then the request is not woken
    When one of them tells that it uses less
    Then the request is woken
    When one of them falls silent for 3 s
    Then the request is woken
