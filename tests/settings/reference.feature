Feature: The settings reference
  Scenario: the page for operators shows the settings as they are checked
    When the reference is printed
    Then it equals docs/settings.ini
    And it loads once the required keys are filled in
