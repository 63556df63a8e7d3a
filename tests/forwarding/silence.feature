Feature: When a silent stream is given up
  Scenario Outline: silence is judged against the engine's own pace
    Given a stream that may pause 0.7 s and got events at <events>
    When it is looked at after <now> s and its server was last alive at <alive> s
    Then it is <sight>

    Examples:
      | events              | now  | alive | sight   |
      | 1.0 1.03 1.06 1.09  | 1.30 | 0     | alive   |
      | 1.0 1.03 1.06 1.09  | 1.35 | 0     | dead    |
      | 1.0 1.03 1.06 1.09  | 1.35 | 1.2   | alive   |
      | 1.0 1.03 1.06 1.09  | 1.64 | 1.60  | alive   |
      | 1.0 1.03 1.06 1.09  | 1.66 | 1.65  | dead    |
      | 1.0 1.20 1.40 1.60  | 1.94 | 0     | alive   |
      | 1.0 1.20 1.40 1.60  | 1.96 | 0     | dead    |
      | none                | 0.45 | 0     | alive   |
      | none                | 1.2  | 0     | suspect |
      | none                | 1.2  | 1.0   | alive   |
      | none                | 0.95 | 0     | alive   |

  Scenario: the next look is due when the silence gets too long
    Given a stream that may pause 0.7 s and got events at 1.0 1.03 1.06
    Then the next look is due at 1.31 s

  Scenario Outline: a report tells whether a stream without events will come
    Given an engine that reports <waiting> waiting, <prefilling> prefilling, answering <answering>
    Then a stream named r1 without events is <sight>

    Examples:
      | waiting | prefilling | answering | sight |
      | 1       | 1          | r2        | alive |
      | 0       | 1          | r2        | alive |
      | 0       | 0          | r2        | dead  |
      | 2       | 1          | r1        | dead  |
