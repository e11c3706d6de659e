//! Validates the layout of client messages, because the decoder assumes complete bodies.

/// Cursor over a message body; each method skips one element or returns `None`.
struct Cursor<'a>(&'a [u8]);

impl Cursor<'_> {
    fn skip(&mut self, bytes: usize) -> Option<()> {
        self.0 = self.0.get(bytes..)?;
        Some(())
    }

    fn skip_text(&mut self) -> Option<()> {
        let end = self.0.iter().position(|b| *b == 0)?;
        self.skip(end + 1)
    }

    fn read_count(&mut self) -> Option<usize> {
        let count = u16::from_be_bytes(self.0.get(..2)?.try_into().ok()?);
        self.skip(2)?;
        Some(usize::from(count))
    }

    fn skip_value(&mut self) -> Option<()> {
        let length = i32::from_be_bytes(self.0.get(..4)?.try_into().ok()?);
        self.skip(4)?;
        match usize::try_from(length) {
            Ok(length) => self.skip(length),
            Err(_) => (length == -1).then_some(()),
        }
    }
}

/// Reports whether `body` has the layout of a message of type `kind`.
pub(super) fn is_well_formed(kind: u8, body: &[u8]) -> bool {
    let mut rest = Cursor(body);
    let read = match kind {
        b'P' => skip_parse(&mut rest),
        b'B' => skip_bind(&mut rest),
        b'D' | b'C' => rest.skip(1).and_then(|()| rest.skip_text()),
        b'E' => rest.skip_text().and_then(|()| rest.skip(4)),
        b'Q' | b'f' => rest.skip_text(),
        b'S' | b'H' | b'X' | b'c' => Some(()),
        b'p' | b'd' => return true,
        _ => None,
    };
    read.is_some() && rest.0.is_empty()
}

fn skip_parse(rest: &mut Cursor<'_>) -> Option<()> {
    rest.skip_text()?;
    rest.skip_text()?;
    let types = rest.read_count()?;
    rest.skip(4 * types)
}

fn skip_bind(rest: &mut Cursor<'_>) -> Option<()> {
    rest.skip_text()?;
    rest.skip_text()?;
    let formats = rest.read_count()?;
    rest.skip(2 * formats)?;
    for _ in 0..rest.read_count()? {
        rest.skip_value()?;
    }
    let formats = rest.read_count()?;
    rest.skip(2 * formats)
}
