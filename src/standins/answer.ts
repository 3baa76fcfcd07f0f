/** What the stand-in engine answers: a function of the prompt alone, so that every caller can check its answer. */
import { FinishReason, hash32 } from "../internal.js";

/** A prompt that carries this text crashes the engine that runs it. */
export const crashMark = "[[crash]]";
/** A prompt may ask for a length of answer: `[[tokens=50]]`. */
const lengthMark = /\[\[tokens=(\d{1,6})\]\]/;
const shortestAnswer = 16;
const answerSpread = 48;
/** Marks stand in the first characters: scanning a prompt of a million tokens for them would cost too much. */
const markCharacters = 4_096;

const words = ["camp", "crew", "paint", "lake", "tent", "form", "round", "sheet", "north", "coast", "bus", "meal"];

/** Seed of a prompt's answer. */
export const answerSeed = (prompt: string): number => hash32(prompt);

/** Text of one token of the answer. */
export const answerToken = (seed: number, index: number): string => {
    const mixed = Math.imul(seed ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b) >>> 0;
    return `${words[mixed % words.length]!}${(mixed >>> 8) % 997} `;
};

/** Tokens of a prompt's answer, and why it ends there. */
export const answerLength = (
    prompt: string,
    seed: number,
    maximumTokens: number,
): { tokens: number; finishReason: FinishReason; } => {
    const asked = lengthMark.exec(prompt.slice(0, markCharacters))?.[1];
    const wanted = asked === undefined ? shortestAnswer + seed % answerSpread : Number(asked);
    return wanted <= maximumTokens
        ? { tokens: wanted, finishReason: FinishReason.Stop }
        : { tokens: maximumTokens, finishReason: FinishReason.Length };
};

/** The whole answer to a prompt. */
export const expectedAnswer = (prompt: string, maximumTokens: number): string => {
    const seed = answerSeed(prompt);
    const { tokens } = answerLength(prompt, seed, maximumTokens);
    let text = "";
    for (let index = 0; index < tokens; index++) {
        text += answerToken(seed, index);
    }
    return text;
};

/** Whether a prompt crashes its engine. */
export const isCrashing = (prompt: string): boolean => prompt.slice(0, markCharacters).includes(crashMark);
