use super::*;

#[test]
fn header_is_recognized_as_soon_as_it_is_complete() {
    let answer = format!("*3\r\n${}\r\nabc", MAX_VALUE_BYTES + 1);
    let header_length = answer.len() - 3;
    for received in 0..=answer.len() {
        let expected = match received {
            _ if received < header_length => Header::Incomplete,
            _ => Header::Streamed { elements: 3, length: MAX_VALUE_BYTES + 1, header_length },
        };
        assert_eq!(read_header(&answer.as_bytes()[..received]), expected, "{received} bytes");
    }
    // The last four are corrupt, and the rest of the header is not waited for.
    for buffered in [
        "-BUSY\r\n",
        "+PONG",
        "*3\r\n$4\r\nfine",
        "*3\r\n-ERR",
        "*1\r\n$-1\r\n",
        "*x\r\n$999999\r\n",
        "*99999\r\n",
        "*3x",
        "*3\r\n$12x",
        "*3\r\n$99999999999",
    ] {
        assert_eq!(read_header(buffered.as_bytes()), Header::Buffered, "{buffered}");
    }
}
