use super::*;

#[test]
fn a_header_is_told_from_any_cut_and_never_wrongly() {
    let long = format!("*3\r\n${}\r\nabc", VALUE_MAX + 1);
    let head = long.len() - 3;
    for cut in 0..=long.len() {
        let wanted = match cut {
            _ if cut < head => Header::Incomplete,
            _ => Header::Streamed { parts: 3, length: VALUE_MAX + 1, header: head },
        };
        assert_eq!(read_header(&long.as_bytes()[..cut]), wanted, "{cut}");
    }
    for whole in
        ["-BUSY\r\n", "+PONG", "*3\r\n$4\r\nfine", "*3\r\n-ERR", "*1\r\n$-1\r\n", "*x\r\n$999999\r\n"]
    {
        assert_eq!(read_header(whole.as_bytes()), Header::Whole, "{whole}");
    }
}
