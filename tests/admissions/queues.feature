Feature: The owner of a backend server shares its slots among accounts
  Scenario Outline: a flood from one account leaves the others their share
    Given an engine of <slots> slots shared as <shares> with seed <seed>
    When <flooder> keeps 300 requests outstanding and the others 40 each
    Then over 60 s each gets its share within 5%

    Examples:
      | slots | shares               | flooder | seed |
      | 16    | a=1 b=1 c=2          | a       | 1    |
      | 8     | a=1 b=1 c=1          | c       | 2    |
      | 5     | a=3 b=1              | b       | 3    |
      | 5     | a=3 b=1              | a       | 2    |
      | 5     | a=3 b=1              | a       | 0    |
      | 30    | a=1 b=2 c=3 d=4 e=10 | a       | 4    |

  Scenario: idle slots are lent and return to an account below its share
    Given an engine of 16 slots shared as a=3 b=1
    When b keeps 100 requests outstanding and the others 0 each
    Then after 10 s b uses 16 slots
    When a begins to keep 100 requests outstanding
    Then after 2 s a uses 12 slots

  Scenario: a limit holds for the requests of all hosts together
    Given an engine of 16 slots shared as a=1/5 b=1/7
    When a keeps 300 requests outstanding and the others 100 each
    Then over 30 s the limits were never exceeded
    And after 1 s a uses 5 slots

  Scenario Outline: the owner dies under load
    Given an engine of 16 slots shared as a=1/5 b=2 c=1
    When a keeps 100 requests outstanding and the others 40 each
    And the owner dies after 10 s and another host takes over <after> s later
    Then over 30 s the limits were exceeded for at most 3 s
    And no running request was lost
    And after 10 s the slots are in use

    Examples:
      | after |
      | 0.2   |
      | 2     |

  Scenario: hosts disagree on the owner for a while
    Given an engine of 16 slots shared as a=1/6 b=1/6
    When a keeps 100 requests outstanding and the others 100 each
    And two hosts act as owner for 10 s
    Then the limits were exceeded by at most 4 slots and on average by at most 2%
    When only one of them remains the owner
    Then over 20 s the limits were exceeded for at most 3 s

  Scenario Outline: overload is refused at once and the slots stay busy
    Given an engine of 16 slots shared as a=1 b=1
    When requests arrive at <times> times its capacity
    Then over 60 s at least 95% of its capacity did useful work
    And nothing granted waited beyond its deadline
    And most refusals came at once and with a time to retry

    Examples:
      | times |
      | 2     |
      | 10    |

  Scenario: most refused requests are granted when they retry at the given time
    Given an engine of 16 slots shared as a=1 b=1
    When requests arrive at 2 times its capacity
    And the arrivals end after 20 s and refused requests retry at the given time
    Then at least 80% of the retries are granted

  Scenario: higher priority and resumed work go first
    Given an engine of 1 slots shared as a=1
    When a queues low, high and resumed requests behind a running one
    Then they are granted in the order resumed, high, low

  Scenario: a client account with a limit of 0 is refused at once
    Given an engine of 4 slots shared as a=1/0
    When a asks for one request
    Then it is refused at once for limit

  Scenario: an engine that falls silent gets nothing, then little, then all
    Given an engine of 16 slots shared as a=1
    When no report comes for 4 s
    Then the waiting request is refused as unreachable
    And 0, then 4, then 10, then 16 slots are usable after 0, 0, 5 and 10 s of reports
