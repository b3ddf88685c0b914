Feature: Headers that are not passed on

  Scenario: A caller can't name itself to a service
    When a caller of a service sends the header "Dunlintide-Member"
    Then it is not among the headers that go on
    When a caller of a service sends the header "X-Screen"
    Then it is among the headers that go on

  Scenario: Headers of one connection end with it
    Then each header of one connection is dropped on the way to a service
