Feature: The settings reference
  Scenario: the page for operators matches the settings models
    When the reference is printed
    Then it equals docs/settings.ini
    And it loads once the required keys are filled in

  Scenario: the page for fronts matches the settings models
    When the reference of fronts is printed
    Then it equals docs/front.ini
    And it loads as settings of a front once the required keys are filled in

  Scenario: the deployment template has only known keys
    When the deployment template is filled in
    Then it loads as settings of a front
    And services are not rolled out by order

  Scenario: the deployment template has the bounds of roll-outs
    When the deployment template is filled in with bounds of roll-outs
    Then it loads as settings of a front
    And services are rolled out within the bounds
