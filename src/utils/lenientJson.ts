/**
 * Parses JSON in which some values aren't JSON.
 *
 * A list holds objects of several writers. One value that isn't JSON, such as a number that the store writes as "Infinity", would
 * otherwise make all of them unreadable.
 */

const quote = "\"";
const structureCharacters = "{}[]:,";
const whitespaceCharacters = " \t\r\n";
const numberPattern = /^-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?$/;
const literals = new Set(["true", "false", "null"]);
const escapes = "\"\\/bfnrt";
const unicodeEscapePattern = /^u[\da-fA-F]{4}$/;
const unicodeEscapeLength = 5;
const highestControlCharacter = "\u001f";

/** The tokens between two characters of structure. JSON allows at most one. */
interface TokenRun {
    start: number;
    end: number;
    tokenCount: number;
    /** Whether each token is one of JSON, and whether the last is a string. */
    isSound: boolean;
    isString: boolean;
}

/**
 * Parses JSON. A value that isn't JSON becomes null, a key that isn't becomes empty, and text in other places is left out. Throws
 * where brackets or quotes don't match, as in text that was cut. The cost grows with the length of the text only.
 */
export const parseLeniently = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return JSON.parse(repair(text));
    }
};

/** Replaces what is between the characters of structure where it isn't JSON. */
const repair = (text: string): string => {
    const pieces: string[] = [];
    let copiedTo = 0;
    let previous: string | undefined;
    for (let position = 0; position <= text.length;) {
        const run = readRun(text, position);
        const next = text[run.end];
        const replacement = replacementOf(run, previous, next);
        if (replacement !== undefined) {
            pieces.push(text.slice(copiedTo, run.start), replacement);
            copiedTo = run.end;
        }
        previous = next;
        position = run.end + 1;
    }
    pieces.push(text.slice(copiedTo));
    return pieces.join("");
};

/** Text in place of a run between two characters of structure; undefined where it is sound. */
const replacementOf = (run: TokenRun, previous: string | undefined, next: string | undefined): string | undefined => {
    if (run.tokenCount === 0) {
        return previous === ":" && next !== "{" && next !== "[" ? "null" : undefined;
    }
    if (next === "{" || next === "[" || previous === "}" || previous === "]") {
        return "";
    }
    const isSound = run.isSound && run.tokenCount === 1;
    if (next === ":") {
        return isSound && run.isString ? undefined : "\"\"";
    }
    return isSound ? undefined : "null";
};

/** Reads all tokens up to the next character of structure, or to the end. */
const readRun = (text: string, start: number): TokenRun => {
    const run: TokenRun = { start, end: start, tokenCount: 0, isSound: true, isString: false };
    while (run.end < text.length && !structureCharacters.includes(text[run.end]!)) {
        if (whitespaceCharacters.includes(text[run.end]!)) {
            run.end++;
            continue;
        }
        const tokenStart = run.end;
        run.isString = text[tokenStart] === quote;
        run.end = run.isString ? endOfString(text, tokenStart) : endOfScalar(text, tokenStart);
        run.isSound &&= run.isString
            ? isSoundString(text, tokenStart + 1, run.end - 1)
            : isSoundScalar(text.slice(tokenStart, run.end));
        run.tokenCount++;
    }
    return run;
};

/** Returns the offset behind the closing quote. Throws where there is none. */
const endOfString = (text: string, start: number): number => {
    for (let position = start + 1; position < text.length; position++) {
        if (text[position] === quote) {
            return position + 1;
        }
        position += text[position] === "\\" ? 1 : 0;
    }
    throw new SyntaxError("the text ends inside a string");
};

const endOfScalar = (text: string, start: number): number => {
    let position = start;
    while (
        position < text.length && text[position] !== quote && !structureCharacters.includes(text[position]!)
        && !whitespaceCharacters.includes(text[position]!)
    ) {
        position++;
    }
    return position;
};

const isSoundScalar = (token: string): boolean => literals.has(token) || numberPattern.test(token);

/** Whether the characters from `start` to `end`, which are between quotes, are those of a string of JSON. */
const isSoundString = (text: string, start: number, end: number): boolean => {
    for (let position = start; position < end; position++) {
        if (text[position]! <= highestControlCharacter) {
            return false;
        }
        if (text[position] !== "\\") {
            continue;
        }
        position++;
        if (escapes.includes(text[position]!)) {
            continue;
        }
        if (!unicodeEscapePattern.test(text.slice(position, position + unicodeEscapeLength))) {
            return false;
        }
        position += unicodeEscapeLength - 1;
    }
    return true;
};
