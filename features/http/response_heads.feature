Feature: Response heads that are not valid HTTP are refused

  # Guards against lines that are passed on as fields or that change where the
  # body begins or ends.
  Scenario Outline: A blank or control byte <place> is refused
    When each blank or control byte stands <place> of a response
    Then none of the responses is accepted

    Examples:
      | place                                     |
      | at the start of a field's name            |
      | inside a field's name                     |
      | at the end of a field's name              |
      | at the start of the name of the length    |
      | inside the name of the length             |
      | at the end of the name of the length      |
      | at the start of the first field's name    |
      | at the start of a field's name, in chunks |
      | at the start of an interim field's name   |

  Scenario: A status below 100 is refused
    When each status from 000 to 099 is the status of a response
    Then none of the responses is accepted

  Scenario Outline: A valid head <form> is accepted
    When a response has a head <form>
    Then the response is accepted with its body

    Examples:
      | form                             |
      | whose lines end with CRLF        |
      | whose lines end with LF          |
      | that arrives byte by byte        |
      | after an interim head            |
      | with blanks around a field value |
