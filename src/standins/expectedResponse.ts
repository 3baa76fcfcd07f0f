/** The response of the stand-in engine. It depends on the prompt alone, so every caller can verify its response. */
import { FinishReason, hash32 } from "../internal.js";

/** A prompt that contains this text crashes the engine that runs it. */
export const crashMarker = "[[crash]]";
/** A prompt can request the length of its response: `[[tokens=50]]`. */
const responseLengthPattern = /\[\[tokens=(\d{1,6})\]\]/;
const minimumResponseTokens = 16;
const responseTokenSpread = 48;
/** Markers are recognized in this many first characters only: scanning a prompt of a million tokens would cost too much. */
const markerScanCharacters = 4_096;

const responseWords = [
    "camp",
    "crew",
    "paint",
    "lake",
    "tent",
    "form",
    "round",
    "sheet",
    "north",
    "coast",
    "bus",
    "meal",
];

/** Returns the seed from which the response to a prompt is generated. */
export const responseSeed = (prompt: string): number => hash32(prompt);

/** Returns the text of one response token. */
export const responseToken = (seed: number, index: number): string => {
    const hash = Math.imul(seed ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b) >>> 0;
    return `${responseWords[hash % responseWords.length]!}${(hash >>> 8) % 997} `;
};

/** Returns the number of response tokens for a prompt and the reason why the response ends there. */
export const responseLength = (
    prompt: string,
    seed: number,
    maximumTokens: number,
): { tokens: number; finishReason: FinishReason; } => {
    const requested = responseLengthPattern.exec(prompt.slice(0, markerScanCharacters))?.[1];
    const tokens = requested === undefined ? minimumResponseTokens + seed % responseTokenSpread : Number(requested);
    return tokens <= maximumTokens
        ? { tokens, finishReason: FinishReason.Stop }
        : { tokens: maximumTokens, finishReason: FinishReason.Length };
};

/** Returns the complete response to a prompt. */
export const expectedResponse = (prompt: string, maximumTokens: number): string => {
    const seed = responseSeed(prompt);
    const { tokens } = responseLength(prompt, seed, maximumTokens);
    let text = "";
    for (let index = 0; index < tokens; index++) {
        text += responseToken(seed, index);
    }
    return text;
};

/** Whether a prompt crashes the engine that runs it. */
export const hasCrashMarker = (prompt: string): boolean => prompt.slice(0, markerScanCharacters).includes(crashMarker);
