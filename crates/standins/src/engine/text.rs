//! Tokenizer and text generator of the engine stand-in; a token is a word.

use xxhash_rust::xxh3::xxh3_64;

/// Completion length if the prompt does not request one.
const DEFAULT_COMPLETION_TOKENS: u64 = 16;

/// Returns the tokens of a prompt.
pub fn tokens(prompt: &str) -> Vec<&str> {
    prompt.split_whitespace().collect()
}

/// Returns the number of tokens to generate: the N of the last word `tokens=N` in the prompt, or
/// the default. The result is at most `max_tokens`, but never less than 1.
pub fn completion_tokens(prompt: &str, max_tokens: u64) -> u64 {
    let requested = prompt.split_whitespace().rev().find_map(|word| word.strip_prefix("tokens="));
    let requested =
        requested.and_then(|count| count.parse().ok()).unwrap_or(DEFAULT_COMPLETION_TOKENS);
    requested.min(max_tokens).max(1)
}

/// Returns the token at `index` of the completion of the prompt with this hash.
pub fn completion_token(prompt_hash: u64, index: u64) -> String {
    let mut input = [0; 16];
    input[..8].copy_from_slice(&prompt_hash.to_be_bytes());
    input[8..].copy_from_slice(&index.to_be_bytes());
    let word = format!("w{:04x}", xxh3_64(&input) & 0xffff);
    if index == 0 { word } else { format!(" {word}") }
}

pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}
