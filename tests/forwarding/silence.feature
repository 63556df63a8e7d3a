Feature: Detection of silent streams
  Scenario Outline: silence is compared with the engine's own pace
    Given a stream with a gap target of 0.7 s and events at <events>
    When it is checked at <now> s and its server last responded at <alive> s
    Then it is <liveness>

    Examples:
      | events              | now  | alive | liveness |
      | 1.0 1.03 1.06 1.09  | 1.30 | 0     | alive    |
      | 1.0 1.03 1.06 1.09  | 1.35 | 0     | dead     |
      | 1.0 1.03 1.06 1.09  | 1.35 | 1.2   | alive    |
      | 1.0 1.03 1.06 1.09  | 1.64 | 1.60  | alive    |
      | 1.0 1.03 1.06 1.09  | 1.66 | 1.65  | dead     |
      | 1.0 1.20 1.40 1.60  | 1.94 | 0     | alive    |
      | 1.0 1.20 1.40 1.60  | 1.96 | 0     | dead     |
      | none                | 0.45 | 0     | alive    |
      | none                | 1.2  | 0     | suspect  |
      | none                | 1.2  | 1.0   | alive    |
      | none                | 0.95 | 0     | alive    |

  Scenario Outline: a stream without events on an engine that answers others
    Given a stream with a gap target of 0.7 s and events at none
    When the engine reports at <report> that it works on the stream
    And it is checked at <now> s and its server last responded at <now> s
    Then it is <liveness>

    Examples:
      | report | now | liveness |
      | 0      | 2.4 | alive    |
      | 0      | 2.6 | suspect  |
      | 2.6    | 5.0 | alive    |
      | 2.6    | 5.2 | suspect  |

  Scenario Outline: silence that this host caused is excused
    Given a stream with a gap target of 0.7 s and events at 1.0 1.03 1.06
    When this host wakes at 3.0 after it did not run
    And it is checked at <now> s and its server last responded at 1.06 s
    Then it is <liveness>

    Examples:
      | now  | liveness |
      | 3.0  | alive    |
      | 3.24 | alive    |
      | 3.26 | dead     |

  Scenario Outline: a stream that this host does not read is not silent
    Given a stream with a gap target of 0.7 s and events at 1.0 1.03 1.06
    When this host does not read it until 3.0
    And it is checked at <now> s and its server last responded at 1.06 s
    Then it is <liveness>

    Examples:
      | now  | liveness |
      | 1.5  | alive    |
      | 3.24 | alive    |
      | 3.26 | dead     |

  Scenario: a stream is not silent if each reading brings events
    Given a stream with a gap target of 0.7 s and events at 1.0 1.03 1.06
    When this host does not read it until 3.0
    And the engine's next event arrives at 3.1
    And this host does not read it until 5.0
    And it is checked at 5.2 s and its server last responded at 1.06 s
    Then it is alive

  Scenario Outline: a stream of much without events is silent
    Given a stream with a gap target of 0.7 s and events at <events>
    When this host does not read it until 3.0
    And this host does not read it until 5.0
    And it is checked at <now> s and its server last responded at 0 s
    Then it is <liveness>

    Examples:
      | events        | now  | liveness |
      | 1.0 1.03 1.06 | 3.24 | alive    |
      | 1.0 1.03 1.06 | 3.26 | dead     |
      | none          | 0.95 | alive    |
      | none          | 1.2  | suspect  |

  Scenario Outline: a later excuse does not shorten the time of no reading
    Given a stream with a gap target of 0.7 s and events at 1.0 1.03 1.06
    When this host does not read it until 3.0
    And <excuse>
    And it is checked at 3.2 s and its server last responded at 1.06 s
    Then it is alive

    Examples:
      | excuse                                      |
      | this host wakes at 1.5 after it did not run |
      | the send is kept at 1.5 for want of another |

  Scenario Outline: an engine that turns four times slower is not cut off
    Given a stream with a gap target of 0.7 s and events at <events>
    When it is checked at <now> s and its server last responded at 0 s
    Then it is alive

    Examples:
      | events                        | now  |
      | 1.0 1.06 1.12 1.18            | 1.42 |
      | 1.0 1.03 1.06 1.18 1.30       | 1.54 |
      | 1.0 1.06 1.12 1.36 1.60       | 1.84 |

  Scenario: the silence limit counts from the last event
    Given a stream with a gap target of 0.7 s and events at 1.0 1.03 1.06
    Then the silence limit expires at 1.31 s

  Scenario Outline: a stream without events is assessed by its engine's report
    Given an engine that reports <waiting> waiting, <prefilling> prefilling, answering <answering>
    Then a stream named r1 without events is <liveness>

    Examples:
      | waiting | prefilling | answering | liveness |
      | 1       | 1          | r2        | alive    |
      | 0       | 1          | r2        | alive    |
      | 0       | 0          | r2        | dead     |
      | 2       | 1          | r1        | dead     |
