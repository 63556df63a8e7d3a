Feature: Validation, CSV sheets and look-up of rows
  Scenario Outline: an invalid row is refused, naming row and column
    When <kind> is given with <changes>
    Then it is refused with "<message>"

    Examples:
      | kind           | changes                      | message                                   |
      | share          | weight=0                     | share *:acme: column weight = '0'         |
      | share          | weight=nan                   | column weight = 'nan'                     |
      | share          | limit=-1                     | column limit = '-1'                       |
      | share          | limit=many                   | column limit = 'many'                     |
      | share          | colour=red                   | column colour = 'red'                     |
      | share          | client_account=No Name       | column client_account = 'No Name'         |
      | service        | kind=magic                   | column kind = 'magic'                     |
      | service        | model=                       | required for a service of kind generation |
      | service        | deadline_s=0                 | column deadline_s = '0'                   |
      | backend_server | url=http://localhost:1       | column url = 'http://localhost:1'         |
      | backend_server | url=http://127.0.0.1         | the port is missing                       |
      | backend_server | state=asleep                 | column state = 'asleep'                   |
      | client_account | key_digest=secret            | column key_digest = [redacted]           |
      | client_account | priority=1000                | column priority = '1000'                  |

  Scenario Outline: a valid row becomes a typed row
    When <kind> is given with <changes>
    Then the catalogue holds it

    Examples:
      | kind           | changes                  |
      | share          | cross_region=true        |
      | service        | idempotent_paths=/lookups |
      | backend_server | state=leaving            |
      | client_account | priority=-3              |

  Scenario Outline: a sheet is imported completely or not at all
    When the sheet "<sheet>" of shares is read
    Then the outcome is <outcome>

    Examples:
      | sheet                                                                 | outcome                                   |
      | backend_server,client_account,weight,limit;*,acme,1,2;e1,acme,2,3     | 2 rows                                    |
      | backend_server,client_account,weight,limit,version;*,acme,1,2,;e,x,2,3,4 | 2 rows                                 |
      | backend_server,client_account,weight,limit;*,acme,1,2;e1,acme,x,3     | row 2 (share e1:acme): column weight = 'x' |
      | backend_server,client_account,weight,limit;*,acme,1,2;*,acme,2,3      | share *:acme: appears more than once      |
      | backend_server,client_account,weight,limits;*,acme,1,2                | header: unknown columns: limits           |
      | backend_server,client_account,weight,limit;*,acme,1,2,3               | line 2: more cells than the header has    |
      | backend_server,client_account,weight,limit,version;*,acme,1,2,new     | row 1 (share *:acme): column version = 'new' |

  Scenario: an exported sheet is imported without changes
    When rows of every kind are exported and imported
    Then the rows are unchanged

  Scenario: look-ups by service and by key reflect every change
    When 2000 seeded changes of accounts and backend servers come in force
    Then each look-up returned what a search of all rows returns
