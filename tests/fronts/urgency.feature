Feature: Urgent requests among others

  Scenario: a burst of less urgent streams fills the engine
    Given an engine with 1 slot behind a front
    And urgent and less urgent routes
    When 6 less urgent streams and then an urgent one are sent
    Then the urgent stream runs before 4 of the others
    And all streams are served

  Scenario: a stream that is taken up goes before new ones that wait at the host
    Given an engine with 1 slot behind a front
    And urgent and less urgent routes
    When 6 less urgent streams and then one that is taken up are sent
    Then the stream that is taken up runs before 4 of the others
    And all streams are served

  Scenario: engines are told nothing where priorities are equal
    Given an engine with 1 slot behind a front
    When 2 streams are sent
    Then no urgency is stated
    And all streams are served
