Feature: Streams taken up at fronts that have not heard of a new software version
  Background:
    Given a platform with 6 engines in two zones, every other one of version v2
    And fronts f1, f2 in north-1 and f3 in north-2, with engines of v1 alone, long ago

  Scenario: a front was frozen while a version came, and wakes as streams are taken up
    When f2 is frozen
    And engines of version v2 come
    And 24 streams of 150 events are sent to f1
    And f1 is killed after 1.5 s
    And their callers take the streams up at f2, which goes on 0.3 s later
    Then no stream has events of two versions
    And at least 20 of the streams are complete

  Scenario Outline: a front was cut off from the store while a version came
    When f3 is cut off from the store, whose connections <how>
    And engines of version v2 come
    And 24 streams of 150 events are sent to f1
    And f1 is killed after 1.5 s
    And their callers take the streams up at f3
    Then no stream has events of two versions
    And streams of version v2 are refused as not run within 1 s, the others are complete

    Examples:
      | how    |
      | hang   |
      | break  |

  Scenario: a front can ask nobody after it was cut off while a version came
    When f3 is cut off from the store, whose connections hang
    And engines of version v2 come
    And 24 streams of 150 events are sent to f1
    And f1 is killed after 1.5 s
    And f2 is killed, too
    And their callers take the streams up at f3
    Then no stream has events of two versions

  Scenario Outline: a front was frozen while a version came, and wakes without the store
    When f3 is frozen
    And f3 is cut off from the store, whose connections <how>
    And engines of version v2 come
    And 24 streams of 150 events are sent to f1
    And f1 is killed after 1.5 s
    And f2 <state>
    And their callers take the streams up at f3, which goes on 0.3 s later
    Then no stream has events of two versions
    And each stream is complete or refused as not run

    Examples:
      | how   | state     |
      | hang  | goes on   |
      | break | goes on   |
      | hang  | is frozen |
      | break | is frozen |
      | hang  | is killed |
      | break | is killed |
