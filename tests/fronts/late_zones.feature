Feature: Streams taken up without the store, soon after the first front of a zone started
  Background:
    Given a platform with 6 engines in two zones, every other one of version v2
    And fronts f1, f2 in north-1 and, 2 s later, f3 in north-2, with engines of v1 alone, long ago, and keys that last 60 s

  Scenario Outline: a front and the store are lost soon after another zone's first front started
    When the fronts have known each other for 2 s
    And the store is away, whose connections <how>
    And 24 streams of 250 events are sent to f1
    And f1 is killed after 3 s
    And their callers take the streams up at <front>
    Then at least 20 of the streams are complete
    And no stream has events of two versions

    Examples:
      | how   | front |
      | hang  | f2    |
      | break | f3    |
