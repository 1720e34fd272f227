package claim

// Encode returns a record as the value of its row.
func Encode(r Record) []byte {
	value, err := r.encode()
	if err != nil {
		panic(err)
	}
	return value
}
