//! Log output.

use logforth::append;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

use crate::bounded_log::BoundedLog;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Json,
}

/// Starts logging to standard output in JSON lines, bounded and without ever blocking.
///
/// # Errors
/// Fails if the thread that writes can't be started.
pub(crate) fn start_bounded(level: Level) -> std::io::Result<()> {
    let log = BoundedLog::start(std::io::stdout())?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(level)).append(log))
        .apply();
    Ok(())
}

/// Starts logging to standard error. Text is coloured only on a terminal.
pub(crate) fn start(format: Format, level: Level) {
    let filter = LevelFilter::MoreSevereEqual(level);
    let builder = logforth::starter_log::builder();
    match format {
        Format::Json => builder
            .dispatch(|d| {
                d.filter(filter)
                    .append(append::Stderr::default().with_layout(JsonLayout::default()))
            })
            .apply(),
        Format::Text => {
            let colour = std::io::IsTerminal::is_terminal(&std::io::stderr());
            let layout = if colour {
                TextLayout::default()
            } else {
                TextLayout::default().no_color()
            };
            builder
                .dispatch(|d| {
                    d.filter(filter)
                        .append(append::Stderr::default().with_layout(layout))
                })
                .apply();
        }
    }
}
