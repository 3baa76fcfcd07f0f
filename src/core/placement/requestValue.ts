/** Values requests against one another. */

/** Value that is lost when a generation is late, relative to other requests. Longer prompts have a higher value. */
export const requestValue = (promptTokens: number): number => 1 + promptTokens / 10_000;
