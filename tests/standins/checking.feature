Feature: The checker finds planted faults

  Run A has no prefix, run B has A's first three tokens, run C has a prefix
  that was never delivered, run D one that no run made. A token is written as run, offset and epoch.

  Scenario Outline: Planted faults
    Given a generation of 6 tokens with runs A, B, C and D
    When a caller receives <tokens> and the end <end>
    Then it finds <lost> lost, <repeated> repeated, <mixed> mixed

    Examples:
      | tokens                          | end  | lost | repeated | mixed |
      | A0 A1 A2 A3 A4 A5               | 6    | 0    | 0        | 0     |
      | A0 A1 A2 B3 B4 B5               | 6    | 0    | 0        | 0     |
      | A0 A1 A2 B3@2 B4@2 B5@2         | 6    | 0    | 0        | 0     |
      | A0 A1 A2                        | none | 0    | 0        | 0     |
      | A0 A1 A2 B4 B5                  | 6    | 1    | 0        | 0     |
      | A0 A1 A2 A3                     | 6    | 2    | 0        | 0     |
      | A0 A1 A1 A2 A3 A4 A5            | 6    | 0    | 1        | 0     |
      | A0 A1 A2 B3 A3 B4 B5            | 6    | 0    | 1        | 1     |
      | A0 A1 A2 A3 B4 B5               | 6    | 0    | 0        | 2     |
      | A0 A1 A2 C3 C4 C5               | 6    | 0    | 0        | 3     |
      | A0 A1 A2 B3 B4 A5               | 6    | 0    | 0        | 1     |
      | A0 A1 A2 X3 B4 B5               | 6    | 0    | 0        | 3     |
      | A1 A0 A2 A3 A4 A5               | 6    | 0    | 0        | 1     |
      | A0@2 A1@1 A2@1 B3@1 B4@1 B5@1   | 6    | 0    | 0        | 1     |
      | A0 A1 A2 A3 A4 A5               | 5    | 0    | 0        | 1     |
      | D0 D1 D2 D3 D4 D5               | 6    | 0    | 0        | 3     |
      | A0 A2 C3 C4 C5                  | 6    | 1    | 0        | 3     |
