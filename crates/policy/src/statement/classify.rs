//! Classification of SQL text by parsing it.

use sqlparser::ast::ContextModifier;
use sqlparser::ast::DiscardObject;
use sqlparser::ast::Expr;
use sqlparser::ast::Reset;
use sqlparser::ast::Set;
use sqlparser::ast::Statement;
use sqlparser::ast::TransactionAccessMode;
use sqlparser::ast::TransactionMode;
use sqlparser::ast::Value;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::Parser;
use sqlparser::parser::ParserError;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::Tokenizer;

use super::class::SessionCommand;
use super::class::StatementClass;
use super::function::is_side_effect_free;

/// Key of a request id in a comment at the start of a statement.
const REQUEST_ID_KEY: &str = "mustardbay.request_id=";
/// Longest request id that is accepted, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Keywords that make a query write or lock rows, wherever they occur unquoted.
const WRITE_KEYWORDS: &[Keyword] = &[
    Keyword::INSERT,
    Keyword::UPDATE,
    Keyword::DELETE,
    Keyword::MERGE,
    Keyword::INTO,
    Keyword::SHARE,
    Keyword::LOCK,
];

/// Returns the class of each statement in `text`; empty for an empty query.
///
/// Text that does not parse counts as a single write, or as the start of a transaction if one of
/// its statements starts with `BEGIN` or `START`.
#[must_use]
pub fn classify(text: &str) -> Vec<StatementClass> {
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return vec![StatementClass::Write];
    };
    let read_only = only_reads(&tokens);
    let opens = opens_transaction(&tokens);
    let mut parser = Parser::new(&dialect).with_tokens(tokens);
    match classify_each(&mut parser, read_only) {
        Ok(classes) => classes,
        Err(_) if opens => vec![StatementClass::Begin { read_only: false }],
        Err(_) => vec![StatementClass::Write],
    }
}

/// Returns the class of each statement; only one parse tree exists at a time.
fn classify_each(
    parser: &mut Parser<'_>,
    read_only: bool,
) -> Result<Vec<StatementClass>, ParserError> {
    let mut classes = Vec::new();
    loop {
        let mut delimited = classes.is_empty();
        while parser.consume_token(&Token::SemiColon) {
            delimited = true;
        }
        match &parser.peek_token_ref().token {
            Token::EOF => return Ok(classes),
            Token::Word(word) if !delimited && word.keyword == Keyword::END => return Ok(classes),
            _ if !delimited => {
                let message = "statements are not separated".to_owned();
                return Err(ParserError::ParserError(message));
            }
            _ => {
                let statement = parser.parse_statement()?;
                classes.push(class_of(&statement, read_only));
            }
        }
    }
}

/// Returns the request id in a leading comment such as `/* mustardbay.request_id=a1 */`.
#[must_use]
pub fn request_id(text: &str) -> Option<&str> {
    let comment = text.trim_start().strip_prefix("/*")?;
    let (comment, _) = comment.split_once("*/")?;
    let id = comment.trim().strip_prefix(REQUEST_ID_KEY)?.trim();
    let fits = !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES;
    let plain = id.chars().all(|c| c.is_ascii_graphic());
    (fits && plain).then_some(id)
}

fn class_of(statement: &Statement, read_only: bool) -> StatementClass {
    match statement {
        Statement::Query(_) if read_only => StatementClass::Read,
        Statement::Explain {
            analyze: false,
            options: None,
            ..
        } => StatementClass::Read,
        Statement::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => StatementClass::Begin {
            read_only: modes.contains(&TransactionMode::AccessMode(
                TransactionAccessMode::ReadOnly,
            )),
        },
        Statement::Commit { chain: true, .. } | Statement::Rollback { chain: true, .. } => {
            StatementClass::Unsupported("AND CHAIN")
        }
        Statement::Commit { .. } => StatementClass::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => StatementClass::Rollback,
        Statement::Rollback { .. }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. }
        | Statement::Lock(_) => StatementClass::TransactionOnly,
        Statement::Set(set) => class_of_set(set),
        Statement::Reset(reset) => class_of_reset(&reset.reset),
        Statement::ShowVariable { variable } => {
            let parts: Vec<&str> = variable.iter().map(|i| i.value.as_str()).collect();
            StatementClass::Session(SessionCommand::Show {
                name: parts.join(".").to_ascii_lowercase(),
            })
        }
        Statement::Discard {
            object_type: DiscardObject::ALL,
        } => StatementClass::Session(SessionCommand::DiscardAll),
        Statement::Deallocate { name, .. } => {
            let all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
            StatementClass::Session(SessionCommand::Deallocate {
                name: (!all).then(|| name.value.clone()),
            })
        }
        Statement::Prepare { .. } => StatementClass::Unsupported("PREPARE"),
        Statement::Execute { .. } => StatementClass::Unsupported("EXECUTE"),
        Statement::Copy { .. } => StatementClass::Unsupported("COPY"),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            StatementClass::Unsupported("LISTEN")
        }
        Statement::CreateTable(table) if table.temporary => {
            StatementClass::Unsupported("temporary tables")
        }
        _ => StatementClass::Write,
    }
}

fn class_of_set(set: &Set) -> StatementClass {
    match set {
        Set::SingleAssignment {
            scope: Some(ContextModifier::Local),
            ..
        }
        | Set::SetTimeZone { local: true, .. }
        | Set::SetTransaction { session: false, .. } => StatementClass::TransactionOnly,
        Set::SingleAssignment {
            scope: None | Some(ContextModifier::Session),
            variable,
            values,
            ..
        } => StatementClass::Session(SessionCommand::Set {
            name: variable.to_string().replace('"', "").to_ascii_lowercase(),
            value: values.iter().map(text_of).collect::<Vec<_>>().join(", "),
        }),
        Set::SetTimeZone { value, .. } => StatementClass::Session(SessionCommand::Set {
            name: "timezone".to_owned(),
            value: text_of(value),
        }),
        Set::SetNames { charset_name, .. } => StatementClass::Session(SessionCommand::Set {
            name: "client_encoding".to_owned(),
            value: charset_name.value.clone(),
        }),
        _ => StatementClass::Unsupported("this form of SET"),
    }
}

fn class_of_reset(reset: &Reset) -> StatementClass {
    match reset {
        Reset::ALL => StatementClass::Session(SessionCommand::Reset { name: None }),
        Reset::ConfigurationParameter(name) => StatementClass::Session(SessionCommand::Reset {
            name: Some(name.to_string().replace('"', "").to_ascii_lowercase()),
        }),
        Reset::SessionAuthorization => StatementClass::Unsupported("RESET SESSION AUTHORIZATION"),
    }
}

/// Returns the text of a parameter value without its quotes.
fn text_of(value: &Expr) -> String {
    match value {
        Expr::Value(literal) => match &literal.value {
            Value::SingleQuotedString(text) | Value::EscapedStringLiteral(text) => text.clone(),
            other => other.to_string(),
        },
        Expr::Identifier(ident) => ident.value.clone(),
        other => other.to_string(),
    }
}

/// Tells whether the text has no write keyword and calls only functions without side effects.
fn only_reads(tokens: &[Token]) -> bool {
    let mut significant = tokens.iter().filter(|t| !matches!(t, Token::Whitespace(_)));
    let mut last: [Option<&Token>; 2] = [None, None];
    significant.all(|token| {
        let reads = match (last, token) {
            // A schema-qualified function may be user-defined, even if it has a built-in's name.
            ([Some(Token::Period), Some(Token::Word(_))], Token::LParen) => false,
            ([_, Some(Token::Word(word))], Token::LParen) => {
                word.quote_style.is_none() && is_side_effect_free(&word.value)
            }
            (_, Token::Word(word)) => !WRITE_KEYWORDS.contains(&word.keyword),
            _ => true,
        };
        last = [last[1], Some(token)];
        reads
    })
}

/// Tells whether any statement of the text starts with `BEGIN` or `START`.
fn opens_transaction(tokens: &[Token]) -> bool {
    let mut starts = true;
    tokens.iter().any(|token| {
        let opens = match token {
            Token::Whitespace(_) => return false,
            Token::Word(word) => starts && matches!(word.keyword, Keyword::BEGIN | Keyword::START),
            _ => false,
        };
        starts = matches!(token, Token::SemiColon);
        opens
    })
}
