Feature: Replicas, positions and idempotency keys
  A journal is written as its epochs and its tokens: "7@0 9@2 | a0 a1 b2" has
  epoch 7 from offset 0 and epoch 9 from offset 2.

  Scenario Outline: a caller is served only if its position is in the journal
    Given the journal "<journal>"
    Then a caller at epoch <epoch> and offset <offset> is <answer>

    Examples:
      | journal              | epoch | offset | answer  |
      | 7@0 \| a0 a1 a2      | 7     | 3      | served  |
      | 7@0 \| a0 a1 a2      | 7     | 4      | lost    |
      | 7@0 9@2 \| a0 a1 b2  | 7     | 2      | served  |
      | 7@0 9@2 \| a0 a1 b2  | 7     | 3      | lost    |
      | 7@0 9@2 \| a0 a1 b2  | 9     | 3      | served  |
      | 7@0 9@2 \| a0 a1 b2  | 8     | 1      | lost    |
      | 7@0 9@2 \| a0 a1 b2  | 8     | 0      | served  |
      | 7@0 9@2 \| a0 a1 b2  | 10    | 2      | lost    |

  Scenario Outline: a malformed Last-Event-ID is refused
    Then the Last-Event-ID "<text>" is <answer>

    Examples:
      | text                    | answer  |
      | g-a-1.7.3               | read    |
      | g-a-1.7                 | refused |
      | g-a-1.7.x               | refused |
      | g-a-1.-7.3              | refused |
      | .7.3                    | refused |
      | g-a-1.7.99999999999999  | refused |
      | g-a-1.7.٣               | refused |

  Scenario: hosts that take over in a network partition use different epochs
    When hosts "a" and "b" choose an epoch above 65536
    Then both are above 65536 and they differ

  Scenario Outline: only the newest owner may write to a replica
    Given a replica that holds "7@0 | a0 a1"
    When owner "<taker>" takes it with epoch <taken>
    And an owner with epoch <epoch> appends "x y" at offset <offset>
    Then the append is <answer>
    And the replica holds "<tokens>"

    Examples:
      | taker | taken | epoch | offset | answer  | tokens    |
      | b     | 9     | 9     | 2      | stored  | a0 a1 x y |
      | b     | 9     | 7     | 2      | stale   | a0 a1     |
      | b     | 9     | 11    | 2      | unknown | a0 a1     |
      | b     | 9     | 9     | 3      | unknown | a0 a1     |
      | b     | 9     | 9     | 1      | stored  | a0 a1 y   |

  Scenario Outline: a replica refuses epochs that do not increase
    Given a replica that holds "9@0 | a0"
    Then "<request>" with epoch <epoch> is <answer>

    Examples:
      | request | epoch | answer  |
      | take    | 9     | refused |
      | take    | 8     | refused |
      | take    | 10    | done    |
      | open    | 8     | refused |
      | open    | 9     | done    |
      | place   | 8     | refused |
      | place   | 9     | done    |

  Scenario: a journal without an owner expires
    Given a replica that holds "7@0 | a0"
    When 119 seconds pass
    Then the replica holds "a0"
    When 2 seconds pass
    Then the replica holds nothing

  Scenario Outline: a search prefers the highest epoch, then the longest journal
    Given hosts answered "<answers>"
    Then the search results in "<end>"

    Examples: name:epoch:length, "*" marks an owner, "-" a missing answer
      | answers             | end   |
      | b:7:5 c:7:6         | c     |
      | b:9:2 c:7:6         | b     |
      | b:9:2* c:9:6        | owner b |
      | c:7:6 -             | c     |
      | -                   | peer_unreachable |
      |                     | generation_lost |

  Scenario: replicas are placed in another zone of the region if possible
    Given hosts "b:r1:z1 c:r1:z2 d:r2:z3 e:r1:z2" around host "a:r1:z1"
    Then every replica order has zones "z2 z2 z1"

  Scenario: a repeated key joins its generation unless that is lost
    Then key "k" of "g-1" joins "g-1"
    And key "k" of "g-2" joins "g-1"
    And key "k" of "g-3" joins "g-3" when "g-1" is lost
