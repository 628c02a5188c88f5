Feature: Settings are checked before anything is opened

  Scenario Outline: A wrong setting ends the process with one clear line
    When carawaymastd is started with <name> as "<value>"
    Then it ends with status 2 and one line that has "<name>", "<value>" and "allowed"

    Examples:
      | name             | value            |
      | http_port        | 0                |
      | http_port        | many             |
      | peer_port        | 70000            |
      | host             | localhost        |
      | log_url          | https://1.2.3.4  |
      | vms_url          | http://1.2.3.4   |
      | domain           | a b              |
      | owner_lease_ms   | 10               |
      | max_body_bytes   | -1               |

  Scenario: A missing setting
    When carawaymastd is started without node_id
    Then it ends with status 2 and one line that has "node_id", "missing" and "allowed"

  Scenario: The environment is used where the flag is not given
    When carawaymastd is started with CARAWAYMAST_HTTP_PORT as "x1"
    Then it ends with status 2 and one line that has "http_port", "x1" and "allowed"
