Feature: Engines reach the state that their rows in the table specify
  Real processes.  After each scenario, the fencing numbers of the orders that
  e1 obeyed must not decrease.

  Background:
    Given a platform, engine e1, engine e2 that ignores fencing numbers, hosts a and b

  Scenario: two operators start and stop the same server through two hosts
    When two operators change e1 concurrently and the last change sets n
    Then e1 eventually has n
    And each rejected operator received the current row

  Scenario Outline: a holder paused past its lease, an order of its half sent
    Given <engine> is reached over a slow link
    When <engine> is configured with p
    And the lease holder is paused with the order in flight
    And <engine> is configured with q and its direct address
    Then <engine> eventually has q
    When the holder resumes and the order arrives
    Then <engine> eventually has q and keeps it

    Examples:
      | engine |
      | e1     |
      | e2     |

  Scenario: the answer to the taking of a lease is lost
    When e1 is configured with r and the next platform response is lost
    Then e1 eventually has r
    And its lease was acquired once

  Scenario: the platform is down
    When e1 is configured with s and the platform fails before the order
    Then e1 receives no order and lookups still succeed
    When the platform is up again
    Then e1 eventually has s

  Scenario: many models are loaded from a weight store with a rate limit
    Given the weight store allows 2 transfers per second
    When e1 is configured with w1,w2,w3
    And e2 is configured with w1,w2,w4
    Then e1 eventually has w1,w2,w3
    And e2 eventually has w1,w2,w4
    And the store received at most 2 requests more than the 4 needed

  Scenario: the lease expires just before the order is written
    When an order to e1 is rejected by its guard just before it is written
    Then e1 has not received it
