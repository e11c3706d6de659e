//! Layout of callers' messages, checked because the decoder takes bodies for whole.

/// Cursor over the body of a message.
struct Cursor<'a>(&'a [u8]);

impl Cursor<'_> {
    fn skip(&mut self, bytes: usize) -> Option<()> {
        self.0 = self.0.get(bytes..)?;
        Some(())
    }

    fn text(&mut self) -> Option<()> {
        let end = self.0.iter().position(|b| *b == 0)?;
        self.skip(end + 1)
    }

    fn count(&mut self) -> Option<usize> {
        let count = u16::from_be_bytes(self.0.get(..2)?.try_into().ok()?);
        self.skip(2)?;
        Some(usize::from(count))
    }

    fn value(&mut self) -> Option<()> {
        let length = i32::from_be_bytes(self.0.get(..4)?.try_into().ok()?);
        self.skip(4)?;
        match usize::try_from(length) {
            Ok(length) => self.skip(length),
            Err(_) => (length == -1).then_some(()),
        }
    }
}

/// Tells whether the body of a message of type `kind` has the layout that the type demands.
pub(super) fn is_whole(kind: u8, body: &[u8]) -> bool {
    let mut rest = Cursor(body);
    let read = match kind {
        b'P' => parse(&mut rest),
        b'B' => bind(&mut rest),
        b'D' | b'C' => rest.skip(1).and_then(|()| rest.text()),
        b'E' => rest.text().and_then(|()| rest.skip(4)),
        b'Q' | b'f' => rest.text(),
        b'S' | b'H' | b'X' | b'c' => Some(()),
        b'p' | b'd' => return true,
        _ => None,
    };
    read.is_some() && rest.0.is_empty()
}

fn parse(rest: &mut Cursor<'_>) -> Option<()> {
    rest.text()?;
    rest.text()?;
    let types = rest.count()?;
    rest.skip(4 * types)
}

fn bind(rest: &mut Cursor<'_>) -> Option<()> {
    rest.text()?;
    rest.text()?;
    let formats = rest.count()?;
    rest.skip(2 * formats)?;
    for _ in 0..rest.count()? {
        rest.value()?;
    }
    let formats = rest.count()?;
    rest.skip(2 * formats)
}
