Feature: Engines come to the state that the table asks for
  Real processes.  After each scenario the fencing numbers of the orders that
  an engine got from those who hold the lease never fall.

  Background:
    Given a platform, engine e1, engine e2 that ignores numbers, hosts a and b

  Scenario: two operators start and stop the same server through two hosts
    When two operators race on e1 and the last accepted change wants n
    Then e1 comes to have n
    And each operator who lost got the row as it stood

  Scenario Outline: a holder paused past its lease, an order of its half sent
    Given <engine> is reached over a slow link
    When <engine> is wanted to have p
    And its holder is paused with the order on its way
    And <engine> is wanted to have q without the link
    Then <engine> comes to have q
    When the holder goes on and the order arrives
    Then <engine> comes to have q and keeps it

    Examples:
      | engine |
      | e1     |
      | e2     |

  Scenario: the answer to the taking of a lease is lost
    When e1 is wanted to have r while the next answer is lost
    Then e1 comes to have r
    And its lease was taken once

  Scenario: the platform is down
    When e1 is wanted to have s and the platform goes down before the order
    Then e1 gets no order and lookups go on
    When the platform is back
    Then e1 comes to have s

  Scenario: many loads are wanted from a store with a rate limit
    Given the weight store allows 2 transfers a second
    When e1 is wanted to have w1,w2,w3
    And e2 is wanted to have w1,w2,w4
    Then e1 comes to have w1,w2,w3
    And e2 comes to have w1,w2,w4
    And 4 transfers were made

  Scenario: the lease ends just before the order is written
    When an order is sent to e1 whose guard forbids it at the last moment
    Then e1 never had it
