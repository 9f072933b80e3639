package load

import (
	"math/rand/v2"
	"strings"
)

// Words of court documents and of climate archives, for prompts of realistic
// length and script.
var (
	icelandic = strings.Fields(`héraðsdómur reykjavíkur dagskrá þinghald dómsalur kröfugerð stefnandi stefndi vitni
lögmaður málflutningur aðalmeðferð fyrirtaka úrskurður frestur skjal málsnúmer dómari ákæra sakborningur
klukkan mánudaginn þriðjudaginn salur breyting staðfest felld niður boðun túlkur gögn framlögð réttarhlé`)
	spanish = strings.Fields(`estación registro lluvia caudal sequía cuenca paraná crecida nivel medición temperatura
humedad viento serie archivo informe anual mensual promedio máximo mínimo provincia riego embalse histórico
inundación aforo sensor fecha valor corregido faltante observador`)
)

// generateText returns about n bytes of random words.
func generateText(r *rand.Rand, words []string, n int) string {
	var b strings.Builder
	b.Grow(n + 16)
	for b.Len() < n {
		b.WriteString(words[r.IntN(len(words))])
		if r.IntN(12) == 0 {
			b.WriteString(".\n")
			continue
		}
		b.WriteByte(' ')
	}
	return b.String()
}

// truncate returns at most n bytes of s without splitting a UTF-8 sequence.
func truncate(s string, n int) string {
	if n >= len(s) {
		return s
	}
	for n > 0 && s[n]&0xc0 == 0x80 {
		n--
	}
	return s[:n]
}
