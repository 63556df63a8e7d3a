Feature: Streams taken up without the store, while engines have one software version
  Background:
    Given a platform with 6 engines in two zones, every other one of version v2
    And fronts f1, f2 in north-1 and f3 in north-2, with engines of v1 alone, long ago, and keys that last 60 s

  Scenario Outline: a front is lost long after the store, while there is one version
    When the fronts have known each other for 2 s
    And the store is away, whose connections <how>
    And 24 streams of 150 events are sent to f1 <span> s later
    And f1 is killed after 1.5 s
    And their callers take the streams up at <front>
    Then at least 20 of the streams are complete
    And no stream has events of two versions

    Examples:
      | how   | span | front |
      | hang  | 4    | f2    |
      | break | 4    | f2    |
      | hang  | 4    | f3    |
      | break | 4    | f3    |

  Scenario Outline: the store is lost after streams began at the one version
    When the fronts have known each other for 2 s
    And 24 streams of 250 events are sent to f1
    And the store is away, whose connections <how>
    And f1 is killed after 3.5 s
    And their callers take the streams up at <front>
    Then at least 20 of the streams are complete
    And no stream has events of two versions

    Examples:
      | how   | front |
      | hang  | f2    |
      | break | f3    |

  Scenario Outline: the store is slow
    When the fronts have known each other for 2 s
    And the store answers <ms> ms later
    And 24 streams of 150 events are sent to f1 1 s later
    And f1 is killed after 1.5 s
    And their callers take the streams up at f3
    Then at least 20 of the streams are complete
    And no stream has events of two versions

    Examples:
      | ms  |
      | 250 |
      | 340 |
