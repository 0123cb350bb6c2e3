use super::*;

#[test]
fn reads_the_header_from_any_cut() {
    let long = format!("*3\r\n${}\r\nabc", MAX_VALUE_BYTES + 1);
    let head = long.len() - 3;
    for cut in 0..=long.len() {
        let wanted = match cut {
            _ if cut < head => Header::Incomplete,
            _ => Header::Streamed { parts: 3, length: MAX_VALUE_BYTES + 1, header: head },
        };
        assert_eq!(read_header(&long.as_bytes()[..cut]), wanted, "{cut}");
    }
    for whole in
        ["-BUSY\r\n", "+PONG", "*3\r\n$4\r\nfine", "*3\r\n-ERR", "*1\r\n$-1\r\n", "*x\r\n$999999\r\n"]
    {
        assert_eq!(read_header(whole.as_bytes()), Header::Whole, "{whole}");
    }
}
